"""Distribute each accepted configuration to every daemon.

A few readers in each availability zone follow the platform's log; the rest
of the zone follows them through a relay tree. As anti-entropy, each daemon
compares its version with a random other daemon periodically.
"""

from goldcrestwharf.distribution._crash_reports import CrashReportGossip
from goldcrestwharf.distribution._service import (
    Distribution,
    DistributionStatus,
)
from goldcrestwharf.distribution._settings import DistributionSettings

__all__ = (
    'CrashReportGossip',
    'Distribution',
    'DistributionSettings',
    'DistributionStatus',
)
