"""Decide, beside a target, which requests it runs and when."""

from goldcrestwharf.admission._health import TargetHealth
from goldcrestwharf.admission._leaving import Leaving
from goldcrestwharf.admission._ledger import (
    DispatchLedger,
    LedgerEntry,
    RequestKey,
    Standing,
)
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._scheduler import SlotScheduler, Ticket

__all__ = (
    'DispatchLedger',
    'Leaving',
    'LedgerEntry',
    'Refusal',
    'RefusalReason',
    'RequestKey',
    'SlotScheduler',
    'Standing',
    'TargetHealth',
    'Ticket',
)
