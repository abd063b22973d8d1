"""Detection of crashes of the local target."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from goldcrestwharf.admission import Refusal
from goldcrestwharf.discovery import Instance, InstanceTracker
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._target_pool import TargetPool
from goldcrestwharf.quarantine import CrashEvidence, RunningRequest


class CrashDetector:
    """Detector that reports the requests in progress when a target crashes.

    A lost connection alone is no crash. It is one if the target then accepts
    no connection, or if its next heartbeat is of a later start. A target
    that drains is expected to end.
    """

    def __init__(
        self,
        *,
        instance_tracker: InstanceTracker,
        pool: TargetPool,
        exchange: CrashExchange,
        clock: Callable[[], float],
    ) -> None:
        """Connect through ``pool`` and report to ``exchange``."""
        self._instance_tracker = instance_tracker
        self._pool = pool
        self._exchange = exchange
        self._evidence = CrashEvidence(clock=clock)
        self._probing: asyncio.Task[None] | None = None

    @contextmanager
    def track(self, attempt: Attempt) -> Iterator[list[Outcome]]:
        """Track an attempt that is sent; its outcome is put into the list."""
        running = RunningRequest(
            find_fingerprints=lambda: self._exchange.find_fingerprints(
                attempt.head, attempt.body
            ),
        )
        self._evidence.begin(running)
        outcomes: list[Outcome] = []
        is_lost = False
        try:
            yield outcomes
        finally:
            is_lost = any(_is_broken(outcome) for outcome in outcomes)
            self._evidence.end(running, is_lost=is_lost)
        if is_lost:
            self._start_probe()
        elif any(_is_completed(outcome) for outcome in outcomes):
            self._exchange.record_completion(attempt.head, attempt.body)

    def find_refusal(self, attempt: Attempt) -> Refusal | None:
        """Return the refusal of an attempt whose request is quarantined."""
        return self._exchange.find_refusal(attempt.head, attempt.body)

    def admit(self, attempt: Attempt) -> Refusal | None:
        """Return the refusal of an attempt, or ``None`` if it is sent now."""
        return self._exchange.admit(attempt.head, attempt.body)

    def report_unreachable(self) -> None:
        """Report a crash, as the target accepts no connection any more."""
        instance = self._instance_tracker.current
        if instance is not None:
            self.report_end(instance)

    def report_end(self, instance: Instance) -> None:
        """Report a crash if the process of ``instance`` was not draining."""
        suspects = self._evidence.take_suspects()
        if suspects and instance.draining_since is None:
            self._exchange.record_crash(
                instance.heartbeat.instance_id, suspects
            )

    def _start_probe(self) -> None:
        if self._probing is None or self._probing.done():
            self._probing = asyncio.get_running_loop().create_task(
                self._probe(),
            )

    async def _probe(self) -> None:
        """Find out whether the target is alive after a connection broke."""
        if not await self._pool.is_target_alive():
            self.report_unreachable()


def _is_broken(outcome: Outcome) -> bool:
    return isinstance(outcome, Lost) and outcome.is_broken


def _is_completed(outcome: Outcome) -> bool:
    # A target may fail a request before it reaches what crashes the target.
    return isinstance(outcome, Ran) and not outcome.has_failed
