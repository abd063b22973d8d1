"""Admission control, retry budgets and idempotency claims."""

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
from goldcrestwharf.limits._deadline import Deadline
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
)
