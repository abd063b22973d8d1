"""Admission control, retry budgets, idempotency claims and quarantine."""

from goldcrestwharf.limits._budget import RetryBudget
from goldcrestwharf.limits._claim_records import CLAIM_STREAM, ClaimEnd
from goldcrestwharf.limits._claim_results import (
    AlreadyRan,
    ClaimResult,
    Conflict,
    MayHaveRun,
    Running,
    Unavailable,
    Won,
)
from goldcrestwharf.limits._claims import Claims
from goldcrestwharf.limits._crash_guard import CrashGuard
from goldcrestwharf.limits._crash_record import CrashRank, CrashReport
from goldcrestwharf.limits._deadline import Deadline
from goldcrestwharf.limits._fingerprint import fingerprint_of
from goldcrestwharf.limits._gate import SlotGate
from goldcrestwharf.limits._load import TargetLoad
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._retries import (
    Attempt,
    AttemptOutcome,
    Retry,
    RetryPolicy,
    Stop,
    StopReason,
)
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.limits._shares import CallerShares, ShareKey

__all__ = (
    'CLAIM_STREAM',
    'AlreadyRan',
    'Attempt',
    'AttemptOutcome',
    'CallerShares',
    'ClaimEnd',
    'ClaimResult',
    'Claims',
    'Conflict',
    'CrashGuard',
    'CrashRank',
    'CrashReport',
    'Deadline',
    'LimitSettings',
    'MayHaveRun',
    'Refusal',
    'RefusalReason',
    'Retry',
    'RetryBudget',
    'RetryPolicy',
    'Running',
    'ShareKey',
    'SlotGate',
    'Stop',
    'StopReason',
    'TargetLoad',
    'Unavailable',
    'Won',
    'fingerprint_of',
)
