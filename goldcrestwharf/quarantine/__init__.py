"""Quarantine of requests that crash the targets that run them."""

from goldcrestwharf.quarantine._evidence import CrashEvidence, RunningRequest
from goldcrestwharf.quarantine._fingerprint import (
    drop_caller,
    fingerprint_for_caller,
    fingerprint_of,
)
from goldcrestwharf.quarantine._guard import CrashGuard
from goldcrestwharf.quarantine._record import CrashRank, CrashReport
from goldcrestwharf.quarantine._settings import QuarantineSettings

__all__ = (
    'CrashEvidence',
    'CrashGuard',
    'CrashRank',
    'CrashReport',
    'QuarantineSettings',
    'RunningRequest',
    'drop_caller',
    'fingerprint_for_caller',
    'fingerprint_of',
)
