"""State shared by the components of a daemon."""

import random
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import LongestTimes, Shutdown
from goldcrestwharf.discovery import (
    Departures,
    Directory,
    DirectoryComparison,
    InstanceTracker,
    ReaderElection,
    StoreEpochs,
)
from goldcrestwharf.http1 import CallerBounds, make_caller_bounds
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts
from goldcrestwharf.proxy._config_exchange import ConfigExchange
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._pause import PauseDetector
from goldcrestwharf.proxy._quota_exchange import QuotaExchange
from goldcrestwharf.proxy._rollout_exchange import RolloutExchange
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.proxy._target_calls import TargetCalls
from goldcrestwharf.proxy._transfers import Transfers


@attrs.frozen(kw_only=True)
class Core:
    """Settings and state of a daemon.

    ``process`` identifies this start of the daemon, and ``clock`` returns
    monotonic seconds.
    """

    cfg: ProxySettings
    process: str
    clock: Callable[[], float]
    rng: random.Random
    holder: PolicyHolder
    directory: Directory
    comparison: DirectoryComparison
    reader_election: ReaderElection
    store_epochs: StoreEpochs
    instance_tracker: InstanceTracker
    departures: Departures
    shutdown: Shutdown
    longest_times: LongestTimes
    config_exchange: ConfigExchange
    crash_exchange: CrashExchange
    pauses: PauseDetector
    transfers: Transfers
    quotas: QuotaExchange
    rollouts: RolloutExchange
    target_calls: TargetCalls
    answer_timeouts: AnswerTimeouts = attrs.field(factory=AnswerTimeouts)
    caller_bounds: CallerBounds = attrs.field(init=False)

    @caller_bounds.default
    def _make_caller_bounds(self) -> CallerBounds:
        return make_caller_bounds(
            memory_bytes=self.cfg.memory_bytes, max_fds=self.cfg.max_fds
        )
