"""Hold what the parts of a daemon share."""

import random
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Shutdown
from goldcrestwharf.discovery import (
    Directory,
    DirectoryComparison,
    InstanceRegister,
    ReaderDuty,
)
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._exchange import Exchange
from goldcrestwharf.proxy._settings import ProxySettings


@attrs.frozen(kw_only=True)
class Core:
    """Hold settings and state that several parts read.

    ``process`` tells this start of the daemon from others, and ``clock``
    returns monotonic seconds.
    """

    cfg: ProxySettings
    process: str
    clock: Callable[[], float]
    rng: random.Random
    holder: PolicyHolder
    directory: Directory
    comparison: DirectoryComparison
    duty: ReaderDuty
    register: InstanceRegister
    shutdown: Shutdown
    exchange: Exchange
