"""Large bodies on their way between this daemon and all others."""

import asyncio
from collections.abc import Callable
from functools import partial

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.transfers import (
    AnswerMemory,
    AnswerSizes,
    BodyBudget,
    GrantScheduler,
    RefusedResponse,
    ResponseMemory,
    SendQueue,
    TransferRank,
)

_log = EventLog(__name__)

#: Least interval of two steps, in seconds, so that a fast link doesn't wake
#: the process for each piece.
_MIN_INTERVAL_S = 0.002

#: Fraction of the memory of the process that answers for other daemons may take
#: while they wait to be sent.
_UNSENT_FRACTION = 0.0625


class Pump:
    """Task that repeats a step as soon as it has something to do again."""

    def __init__(self, step: Callable[[], float | None]) -> None:
        """Call ``step``, which returns the seconds until its next call."""
        self._step = step
        self._timer: asyncio.TimerHandle | None = None

    def run(self) -> None:
        """Do the step now, and again when it is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait = self._step()
        if wait is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(wait, _MIN_INTERVAL_S), self.run)


def _report_refused_response(refused: RefusedResponse) -> None:
    _metrics.count_refused_transfer('response')
    _log.note(
        'target.response_refused',
        route=refused.group,
        size=refused.size,
        used=refused.used,
        allowed=round(refused.allowed),
    )


class Transfers:
    """Grants, queue and memory of the large bodies of a daemon."""

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        holder: PolicyHolder,
        clock: Callable[[], float],
    ) -> None:
        """Keep to the link and the memory of ``cfg``."""
        self.grants = GrantScheduler(link_rate=cfg.link_rate, clock=clock)
        self.queue = SendQueue(link_rate=cfg.link_rate, clock=clock)
        self.budget = BodyBudget(
            memory_bytes=cfg.memory_bytes,
            link_rate=cfg.link_rate,
            is_enabled=lambda: self.is_enabled,
            count_refusal=partial(_metrics.count_refused_transfer, 'memory'),
        )
        self.responses = ResponseMemory(
            memory_bytes=cfg.memory_bytes,
            find_other_use=self.find_held,
            clock=clock,
            report=_report_refused_response,
        )
        self.answer_sizes = AnswerSizes()
        self.clock = clock
        self._holder = holder
        self._unsent_limit = cfg.memory_bytes * _UNSENT_FRACTION
        self._count_peers_unsent: Callable[[], int] = int
        self._unsent_counts: list[Callable[[], int]] = []
        self._answers: set[AnswerMemory] = set()
        self._granting = Pump(self.grants.pump)
        self._sending = Pump(self.queue.pump)

    def watch_peers(self, count_unsent: Callable[[], int]) -> None:
        """Count the bytes of answers that wait for other daemons."""
        self._count_peers_unsent = count_unsent
        self.watch_unsent(count_unsent)

    def has_room_for_answer(self) -> bool:
        """Return whether other daemons receive answers fast enough."""
        return self._count_peers_unsent() <= self._unsent_limit

    def watch_unsent(self, count_unsent: Callable[[], int]) -> None:
        """Count the bytes of answers that wait to be sent as held."""
        self._unsent_counts.append(count_unsent)

    def find_held(self) -> int:
        """Return the bytes of bodies, and of answers that wait to be sent."""
        return self.budget.used + sum(
            count_unsent() for count_unsent in self._unsent_counts
        )

    @property
    def is_enabled(self) -> bool:
        """Return whether the active configuration has large bodies."""
        snapshot = self._holder.current
        return snapshot is not None and snapshot.has_bulk_routes

    def find_rank(self, priority: int, objective_left: float) -> TransferRank:
        """Return the rank of a body; ``objective_left`` is in seconds."""
        return (priority, self.clock() + objective_left)

    def make_answer_memory(self, size: int) -> AnswerMemory:
        """Return the memory of an answer of ``size`` bytes."""
        return AnswerMemory(
            budget=self.budget, size=size, holders=self._answers
        )

    def grant(self) -> None:
        """Grant what other daemons may send now."""
        self._granting.run()

    def send(self) -> None:
        """Send what other daemons have granted."""
        self._sending.run()
