"""Hold a zone of simulated daemons and measure what it spends."""

import time

import attrs

from test.membership.network import Daemon, FakeNetwork, Traffic
from test.membership.stepped import SteppedTimers

_STEP_S = 0.1
_BOUND_S = 60

#: How long a measurement lasts, in simulated seconds.
IDLE_S = 6


@attrs.frozen(kw_only=True)
class Cost:
    """Give what one member spends in one second."""

    datagrams: float
    datagram_bytes: int
    stream_bytes: int
    cpu_ms: float


@attrs.frozen(kw_only=True)
class Zone:
    """Hold the daemons of one size."""

    network: FakeNetwork
    timers: SteppedTimers
    daemons: list[Daemon]

    async def wait_until_all(self, vm: str, states: frozenset[str]) -> float:
        """Return the seconds until all hold ``vm`` to be in ``states``."""
        started = self.timers.now()
        while self.timers.now() - started < _BOUND_S:
            known = {one.states().get(vm, '') for one in self.daemons}
            if known <= states:
                break
            await self.timers.advance(_STEP_S)
        return self.timers.now() - started

    async def wait_for_target(self, group: str) -> float:
        """Return the seconds until all find a target in ``group``."""
        started = self.timers.now()
        while not all(one.view.targets(group) for one in self.daemons):
            await self.timers.advance(_STEP_S)
        return self.timers.now() - started


def preload(daemons: list[Daemon]) -> None:
    """Let all daemons know one another, as long after their start."""
    records = [one.view.local_member() for one in daemons]
    for one in daemons:
        membership = one.service._core.membership
        for record in records:
            membership.merge_record(record, 0)
        state = membership.state
        while len(state.gossip):
            state.gossip.take(100_000, max_sends=1)


async def measure_idle(zone: Zone) -> Cost:
    """Return bytes and processor time per member and second."""
    before = attrs.evolve(zone.network.traffic)
    spent = time.process_time()
    await zone.timers.advance(IDLE_S)
    spent = time.process_time() - spent
    after = zone.network.traffic
    return make_cost(before, after, spent, IDLE_S * len(zone.daemons))


def make_cost(
    before: Traffic,
    after: Traffic,
    spent: float,
    seconds: float,
) -> Cost:
    """Return the cost per member and second of ``seconds`` together."""
    sent = after.datagram_bytes - before.datagram_bytes
    streams = after.stream_bytes - before.stream_bytes
    return Cost(
        datagrams=round((after.datagrams - before.datagrams) / seconds, 2),
        datagram_bytes=round(sent / seconds),
        stream_bytes=round(streams / seconds),
        cpu_ms=round(1000 * spent / seconds, 2),
    )
