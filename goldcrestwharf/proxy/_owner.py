"""Run requests on the target beside this daemon.

This is the only way to the target, so its word on whether a request ran is
certain.
"""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotScheduler,
    TargetHealth,
    Ticket,
)
from goldcrestwharf.discovery import Instance, InstanceRegister
from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    render_passed_on,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._dialect import HeaderNames
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran, Reply
from goldcrestwharf.proxy._target_pool import TargetPool

_log = EventLog(__name__)

_MS_PER_S = 1000
_MISDIRECTED = 421
_SUCCESS = range(200, 300)

#: Seconds past the deadline in which an answer may still arrive; a target
#: that keeps deadlines answers by then.
_LATE_ANSWER_S = 0.05

#: Least time, in seconds, with which a request is worth sending.
_LEAST_LEFT_S = 0.005

#: Share of the drain time in which orders of daemons that don't know yet of
#: the draining are still run.
_DRAIN_SHARE = 0.5


@attrs.frozen(kw_only=True)
class OwnerSettings:
    """Configure how the own target is run.

    ``drain_timeout`` is the time, in seconds, after the acknowledgement of
    a target's leaving in which it may still get requests.
    """

    names: HeaderNames
    drain_timeout: float


@attrs.define(kw_only=True, eq=False)
class _Run:
    """Hold one order and the monotonic times that bound it."""

    order: RunOrder
    deadline_at: float
    ticket: Ticket
    admitted_at: float = 0


class Owner:
    """Admit orders to the own target's slots and run them."""

    def __init__(
        self,
        *,
        register: InstanceRegister,
        pool: TargetPool,
        cfg: OwnerSettings,
        clock: Callable[[], float],
    ) -> None:
        """Run on the instance that ``register`` knows, through ``pool``."""
        self.in_flight = 0
        self.scheduler = SlotScheduler(slots=1, clock=clock)
        self.health = TargetHealth()
        self._register = register
        self._pool = pool
        self._cfg = cfg
        self._lower = cfg.names.lower()
        self._clock = clock
        self._process: tuple[str, int] | None = None

    def report(self) -> LoadReport:
        """Return the load of the target."""
        holds = self.scheduler.holds
        return LoadReport(
            busy=self.scheduler.busy,
            slots=self.scheduler.slots,
            hold=holds.mean if holds.is_known else 0,
            failure_share=self.health.failure_share(self._clock()),
        )

    def refresh(self) -> None:
        """Follow the register: another instance, other slots, draining."""
        instance = self._register.current
        if instance is None:
            return
        if instance.process != self._process:
            self._process = instance.process
            self._pool.close()
            self.health = TargetHealth()
        self.health.note_connected()
        self.scheduler.resize(max(instance.beat.slots, 1))

    def is_available(self) -> bool:
        """Tell whether the target takes new work."""
        instance = self._register.current
        if instance is None or instance.drains_since is not None:
            return False
        return not (
            self.health.is_down or self._register.is_silent(self._clock())
        )

    async def run(self, order: RunOrder) -> Reply:
        """Return what came of an order, at the latest soon past its end.

        Cancelling the call gives the order up: it leaves the queue, or the
        connection to the target is closed.
        """
        self.in_flight += 1
        try:
            outcome = await self._run(order)
        finally:
            self.in_flight -= 1
        return Reply(outcome=outcome, report=self.report())

    async def _run(self, order: RunOrder) -> Outcome:
        refusal = self._find_obstacle(order)
        if refusal is not None:
            return refusal
        decided: asyncio.Future[Refusal | None] = (
            asyncio.get_running_loop().create_future()
        )
        run = self._make_run(order, decided)
        refusal = self.scheduler.enter(run.ticket)
        if refusal is not None:
            return refusal
        if run.ticket.is_waiting:
            refusal = await self._wait(run, decided)
            if refusal is not None:
                return refusal
        return await self._hold(run)

    def _make_run(
        self,
        order: RunOrder,
        decided: 'asyncio.Future[Refusal | None]',
    ) -> _Run:
        now = self._clock()
        return _Run(
            order=order,
            deadline_at=now + order.left,
            ticket=Ticket(
                kind=order.kind,
                priority=order.priority,
                objective_at=now + min(order.objective_left, order.left),
                deadline_at=now + order.left,
                decide=lambda refusal: self._decide(order, decided, refusal),
            ),
        )

    def _decide(
        self,
        order: RunOrder,
        decided: 'asyncio.Future[Refusal | None]',
        refusal: Refusal | None,
    ) -> None:
        if not decided.done():
            decided.set_result(refusal)
        elif refusal is None:
            # Nobody waits for the slot any more.
            self.scheduler.leave(order.kind, None)

    def _find_obstacle(self, order: RunOrder) -> Refusal | None:
        now = self._clock()
        instance = self._register.current
        if instance is None or instance.beat.service != order.service:
            return Refusal(reason=RefusalReason.NOT_HERE)
        if order.instance_id not in {'', instance.beat.instance_id}:
            return Refusal(reason=RefusalReason.NOT_HERE)
        if self._is_drained(instance, now):
            return Refusal(reason=RefusalReason.DRAINING)
        if not self.health.may_try(now):
            return Refusal(reason=RefusalReason.TARGET_DOWN)
        return None

    def _is_drained(self, instance: Instance, now: float) -> bool:
        if instance.drains_since is None:
            return False
        served_for = now - instance.drains_since
        return served_for > self._cfg.drain_timeout * _DRAIN_SHARE

    async def _wait(
        self,
        run: _Run,
        decided: 'asyncio.Future[Refusal | None]',
    ) -> Refusal | None:
        has_woken = False
        try:
            async with asyncio.timeout_at(run.deadline_at):
                refusal = await decided
            has_woken = True
        except TimeoutError:
            refusal = Refusal(reason=RefusalReason.TOO_LATE)
        finally:
            self.scheduler.withdraw(run.ticket)
            if not has_woken and _is_granted(decided):
                self.scheduler.leave(run.order.kind, None)
        return refusal

    async def _hold(self, run: _Run) -> Outcome:
        run.admitted_at = self._clock()
        held: float | None = None
        try:
            outcome = await self._dispatch(run)
            if isinstance(outcome, Ran):
                held = self._clock() - run.admitted_at
            return outcome
        finally:
            self.scheduler.leave(run.order.kind, held)

    async def _dispatch(self, run: _Run) -> Outcome:
        # The target may have begun to leave while the order waited.
        refusal = self._find_obstacle(run.order)
        if refusal is not None:
            return refusal
        instance = self._register.current
        try:
            conn = await self._pool.take(
                is_repeatable=run.order.is_repeatable,
            )
        except OSError as exc:
            self._note_unreachable(exc)
            return Refusal(reason=RefusalReason.TARGET_DOWN)
        left = run.deadline_at - self._clock()
        if left < _LEAST_LEFT_S or instance is None:
            conn.close()
            return Refusal(reason=RefusalReason.TOO_LATE)
        self.health.note_connected()
        return await self._exchange(run, conn, instance)

    async def _exchange(
        self,
        run: _Run,
        conn: ClientConn,
        instance: Instance,
    ) -> Outcome:
        message = self._render(run, instance)
        request_id = run.order.request_id.encode('latin-1')
        name = self._lower.request_id
        limit_at = run.deadline_at + _LATE_ANSWER_S
        try:
            async with asyncio.timeout_at(limit_at):
                response = await conn.exchange(
                    message,
                    matches=lambda found: (
                        found.find(name) in {None, request_id}
                    ),
                )
        except TimeoutError:
            self._note_failure(run, 'no answer by the deadline')
            return Lost(reason='no answer by the deadline')
        except ExchangeError as exc:
            self._note_failure(run, exc.reason)
            return Lost(reason=exc.reason)
        self._pool.put_back(conn, response)
        return self._judge(run, response)

    def _render(self, run: _Run, instance: Instance) -> bytes:
        order = run.order
        left = run.deadline_at - self._clock()
        return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
            order.head,
            self._cfg.names.deadline,
            max(round(left * _MS_PER_S), 1),
            self._cfg.names.expected_instance,
            instance.beat.instance_id.encode('latin-1'),
            order.body,
        )

    def _judge(self, run: _Run, response: Response) -> Outcome:
        now = self._clock()
        is_misdirected = response.status == _MISDIRECTED
        if is_misdirected or response.find(self._lower.not_run) is not None:
            self.health.note_outcome(has_failed=True, now=now)
            return Refusal(
                reason=RefusalReason.TARGET_REFUSED,
                reached_target=True,
            )
        has_proof = response.find(self._lower.proof) is not None
        if response.status in _SUCCESS and not has_proof:
            self._note_failure(run, 'the answer has no proof')
            return Lost(reason='the answer has no proof')
        ran = Ran(
            status=response.status,
            head=render_passed_on(response.headers, without=frozenset()),
            body=response.body,
        )
        self.health.note_outcome(has_failed=ran.has_failed, now=now)
        return ran

    def _note_failure(self, run: _Run, reason: str) -> None:
        self.health.note_outcome(has_failed=True, now=self._clock())
        _log.info(
            'target.answer_lost',
            request=run.order.request_id,
            cause=reason,
        )

    def _note_unreachable(self, exc: OSError) -> None:
        if self.health.note_unreachable(self._clock()):
            _log.warning('target.unreachable', cause=repr(exc))
            self.scheduler.refuse_all(
                Refusal(reason=RefusalReason.TARGET_DOWN),
            )


def _is_granted(decided: 'asyncio.Future[Refusal | None]') -> bool:
    return (
        decided.done() and not decided.cancelled() and decided.result() is None
    )
