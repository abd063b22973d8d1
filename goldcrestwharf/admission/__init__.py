"""Admission control in front of a target: who gets a slot, and when."""

from goldcrestwharf.admission._health import TargetHealth
from goldcrestwharf.admission._ledger import (
    DispatchLedger,
    DispatchRecord,
    DispatchState,
    RequestKey,
)
from goldcrestwharf.admission._longest_times import LongestTimes
from goldcrestwharf.admission._outcome_memory import OutcomeMemory
from goldcrestwharf.admission._rate_limit import RateLimit
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._scheduler import SlotScheduler
from goldcrestwharf.admission._shutdown import Shutdown
from goldcrestwharf.admission._slot_request import SlotRequest

__all__ = (
    'DispatchLedger',
    'DispatchRecord',
    'DispatchState',
    'LongestTimes',
    'OutcomeMemory',
    'RateLimit',
    'Refusal',
    'RefusalReason',
    'RequestKey',
    'Shutdown',
    'SlotRequest',
    'SlotScheduler',
    'TargetHealth',
)
