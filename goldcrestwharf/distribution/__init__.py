"""Bring each accepted configuration to every daemon.

A few readers in each availability zone follow the platform's log; the rest
of the zone follows them through a relay tree, and each daemon compares
with a random other one now and then.
"""

from goldcrestwharf.distribution._service import (
    Distribution,
    DistributionStatus,
)
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.distribution._verdicts import VerdictSpreader

__all__ = (
    'Distribution',
    'DistributionSettings',
    'DistributionStatus',
    'VerdictSpreader',
)
