"""Execution of requests on the local target.

All requests to the target pass through here, so the statement whether a
request ran is reliable.
"""

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import Instance
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._attempt_tracker import AttemptTracker
from goldcrestwharf.proxy._local_target_context import LocalTargetContext
from goldcrestwharf.proxy._outcomes import Outcome, Ran, Reply
from goldcrestwharf.proxy._slot_limiter import SlotUse
from goldcrestwharf.proxy._slot_queue import AttemptRun

#: Minimum time left, in seconds, for a request to be sent to the target.
_MIN_TIME_LEFT_S = 0.005


class LocalTarget:
    """Local target: admits attempts to its slots and runs them.

    ``notices`` is what the target says about itself in its answers, and
    ``scheduler`` assigns its slots.
    """

    def __init__(self, *, context: LocalTargetContext) -> None:
        """Run on the instance that the tracker reports."""
        self.in_flight = 0
        self.notices = context.notices
        self.scheduler = context.queue.scheduler
        self._context = context
        self._health = context.health
        self._queue = context.queue
        self._instance: Instance | None = None

    def report(self) -> LoadReport:
        """Return the load of the target."""
        scheduler = self._queue.scheduler
        service_times = scheduler.service_times
        return LoadReport(
            busy=scheduler.busy,
            slots=scheduler.slots,
            service_time=service_times.mean if service_times.is_known else 0,
            failure_share=self._health.failure_share(self._context.clock()),
        )

    def refresh(self) -> None:
        """Apply a new instance, slot count or state from the tracker."""
        instance = self._context.instance_tracker.current
        if instance is None:
            return
        before = self._instance
        self._instance = instance
        if before is None or instance.process != before.process:
            if before is not None:
                self._context.crash_detector.report_end(before)
            self.notices.reset(instance.process)
            self._context.pool.close()
            self._health.reset()
            self._context.limiter.reset()
        self._health.record_connected()
        self._context.limiter.apply_slots(max(instance.heartbeat.slots, 1))

    def is_reachable(self) -> bool:
        """Return whether the target sends heartbeats and is connectable."""
        instance_tracker = self._context.instance_tracker
        is_silent = instance_tracker.is_silent(self._context.clock())
        return not (is_silent or self._health.is_down)

    def find_refusal(self, attempt: Attempt) -> Refusal | None:
        """Return a refusal if the target can't run an attempt at present."""
        service_time = self._queue.scheduler.service_times.mean_of(
            attempt.request_class
        )
        return self._context.checks.find_refusal(attempt, service_time)

    async def run(self, attempt: Attempt) -> Reply:
        """Run an attempt and return its reply, soon after its deadline at most.

        Cancelling the call removes the attempt from the queue, or closes the
        connection to the target.
        """
        self.in_flight += 1
        try:
            outcome = await self._admit(attempt)
        finally:
            self.in_flight -= 1
        return Reply(outcome=outcome, report=self.report())

    async def _admit(self, attempt: Attempt) -> Outcome:
        refusal = self.find_refusal(attempt)
        if refusal is not None:
            return refusal
        if attempt.needs_free_slot and not self.scheduler.has_free_slot:
            return Refusal(reason=RefusalReason.BUSY)
        run = AttemptRun(
            attempt=attempt,
            deadline_at=self._context.clock() + attempt.left,
        )
        with AttemptTracker(
            attempt=attempt,
            report=self.report,
            clock=self._context.clock,
        ) as tracker:
            refusal = await self._queue.acquire(run)
            _metrics.record_queue_wait(tracker.age)
            if refusal is not None:
                return refusal
            tracker.phase = 'run'
            return await self._run_in_slot(run)

    async def _run_in_slot(self, run: AttemptRun) -> Outcome:
        use = self._context.limiter.begin()
        outcome: Outcome | None = None
        try:
            outcome = await self._dispatch(run)
        finally:
            self._release(run, outcome, use)
        return outcome

    def _release(
        self,
        run: AttemptRun,
        outcome: Outcome | None,
        use: SlotUse,
    ) -> None:
        service_time = None
        held = self._context.clock() - use.slots.at
        if isinstance(outcome, Ran) and not outcome.has_failed:
            service_time = held
            _metrics.record_service_time(service_time)
        self._context.checks.longest_times.record(
            run.attempt.request_class, held
        )
        self._context.limiter.end(use, run, outcome)
        self._queue.scheduler.release(
            run.attempt.request_class, service_time, cut_after=held
        )
        self._context.record_run(run.attempt, outcome, use.slots.at)

    async def _dispatch(self, run: AttemptRun) -> Outcome:
        # The target may have started to drain while the attempt was queued.
        refusal = self.find_refusal(
            run.find_left(self._context.clock())
        ) or self._context.crash_detector.find_refusal(run.attempt)
        if refusal is not None:
            return refusal
        conn = await self._context.connector.connect(run)
        if isinstance(conn, Refusal):
            return conn
        if run.deadline_at - self._context.clock() < _MIN_TIME_LEFT_S:
            refusal = Refusal(reason=RefusalReason.TOO_LATE)
        else:
            refusal = self._context.crash_detector.admit(run.attempt)
        if refusal is not None:
            conn.close()
            return refusal
        with self._context.crash_detector.track(run.attempt) as outcomes:
            outcome, response = await self._context.exchange.send(run, conn)
            outcomes.append(outcome)
        self._context.pool.put_back(conn, response)
        return outcome
