"""Run requests on the target beside this daemon.

This is the only way to the target, so its word on whether a request ran is
certain.
"""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    Shutdown,
    TargetHealth,
)
from goldcrestwharf.discovery import InstanceRegister
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._connector import Connector
from goldcrestwharf.proxy._dialect import HeaderNames
from goldcrestwharf.proxy._obstacles import Obstacles
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._order_stay import OrderStay
from goldcrestwharf.proxy._outcomes import Outcome, Ran, Reply
from goldcrestwharf.proxy._slot_queue import OrderRun, SlotQueue
from goldcrestwharf.proxy._target_exchange import TargetExchange
from goldcrestwharf.proxy._target_pool import TargetPool

#: Least time, in seconds, with which a request is worth sending.
_LEAST_LEFT_S = 0.005


@attrs.frozen(kw_only=True)
class OwnerContext:
    """Hold what the owner works with.

    ``drain_timeout`` is the time, in seconds, after the acknowledgement of
    a target's leave notice in which it may still get requests.
    """

    register: InstanceRegister
    pool: TargetPool
    shutdown: Shutdown
    names: HeaderNames
    drain_timeout: float
    clock: Callable[[], float]


class Owner:
    """Admit orders to the own target's slots and run them."""

    def __init__(self, *, context: OwnerContext) -> None:
        """Run on the instance that the register knows."""
        self.in_flight = 0
        self._context = context
        self._health = TargetHealth()
        self._queue = SlotQueue(clock=context.clock)
        self._exchange = TargetExchange(
            names=context.names,
            health=self._health,
            clock=context.clock,
        )
        self._obstacles = Obstacles(
            register=context.register,
            health=self._health,
            shutdown=context.shutdown,
            drain_timeout=context.drain_timeout,
            clock=context.clock,
        )
        self._connector = Connector(
            pool=context.pool,
            health=self._health,
            scheduler=self._queue.scheduler,
            clock=context.clock,
        )
        self._process: tuple[str, int] | None = None

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
        """Follow the register: another instance, other slots, draining."""
        instance = self._context.register.current
        if instance is None:
            return
        if instance.process != self._process:
            self._process = instance.process
            self._context.pool.close()
            self._health.reset()
        self._health.record_connected()
        self._queue.scheduler.resize(max(instance.beat.slots, 1))

    def is_reachable(self) -> bool:
        """Tell whether the target is there and answers."""
        register = self._context.register
        is_silent = register.is_silent(self._context.clock())
        return not (is_silent or self._health.is_down)

    async def run(self, order: RunOrder) -> Reply:
        """Return what came of an order, at the latest soon past its end.

        Cancelling the call gives the order up: it leaves the queue, or the
        connection to the target is closed.
        """
        self.in_flight += 1
        try:
            outcome = await self._admit(order)
        finally:
            self.in_flight -= 1
        return Reply(outcome=outcome, report=self.report())

    async def _admit(self, order: RunOrder) -> Outcome:
        refusal = self._find_obstacle(order)
        if refusal is not None:
            return refusal
        run = OrderRun(
            order=order,
            deadline_at=self._context.clock() + order.left,
        )
        with OrderStay(
            order=order,
            report=self.report,
            clock=self._context.clock,
        ) as stay:
            refusal = await self._queue.take(run)
            _metrics.record_wait(stay.age)
            if refusal is not None:
                return refusal
            stay.phase = 'run'
            return await self._hold(run)

    async def _hold(self, run: OrderRun) -> Outcome:
        began_at = self._context.clock()
        outcome: Outcome | None = None
        try:
            outcome = await self._dispatch(run)
        finally:
            self._release(run, outcome, began_at)
        return outcome

    def _release(
        self,
        run: OrderRun,
        outcome: Outcome | None,
        began_at: float,
    ) -> None:
        held = None
        if isinstance(outcome, Ran) and not outcome.has_failed:
            held = self._context.clock() - began_at
            _metrics.record_hold(held)
        self._queue.scheduler.release(run.order.request_class, held)

    async def _dispatch(self, run: OrderRun) -> Outcome:
        # The target may have begun to leave while the order waited.
        refusal = self._find_obstacle(run.order)
        if refusal is not None:
            return refusal
        conn = await self._connector.connect(run)
        if isinstance(conn, Refusal):
            return conn
        if run.deadline_at - self._context.clock() < _LEAST_LEFT_S:
            conn.close()
            return Refusal(reason=RefusalReason.TOO_LATE)
        outcome, response = await self._exchange.send(run, conn)
        self._context.pool.put_back(conn, response)
        return outcome

    def _find_obstacle(self, order: RunOrder) -> Refusal | None:
        usual = self._queue.scheduler.service_times.mean_of(order.request_class)
        return self._obstacles.find(order, usual)
