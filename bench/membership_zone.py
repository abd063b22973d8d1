"""Measure the network and processor use of a simulated zone."""

import time

import attrs

from test.membership.network import Daemon, FakeNetwork, Traffic
from test.membership.stepped import SteppedTimers

_STEP_S = 0.1
_TIMEOUT_S = 60

#: Duration of a measurement, in simulated seconds.
IDLE_DURATION_S = 6


@attrs.frozen(kw_only=True)
class Cost:
    """The network and processor use of one member in one second."""

    datagrams: float
    datagram_bytes: int
    stream_bytes: int
    cpu_ms: float


@attrs.frozen(kw_only=True)
class Zone:
    """The simulated daemons of one zone."""

    network: FakeNetwork
    timers: SteppedTimers
    daemons: list[Daemon]

    async def wait_until_all(self, vm: str, states: frozenset[str]) -> float:
        """Return the seconds until ``vm`` is in ``states`` for all daemons."""
        started = self.timers.now()
        while self.timers.now() - started < _TIMEOUT_S:
            known = {one.states().get(vm, '') for one in self.daemons}
            if known <= states:
                break
            await self.timers.advance(_STEP_S)
        return self.timers.now() - started

    async def wait_for_target(self, group: str) -> float:
        """Return the seconds until all daemons know a target in ``group``."""
        started = self.timers.now()
        while not all(one.view.targets(group) for one in self.daemons):
            await self.timers.advance(_STEP_S)
        return self.timers.now() - started


def preload(daemons: list[Daemon]) -> None:
    """Give all daemons each other's records, with no gossip pending."""
    records = [one.view.local_member() for one in daemons]
    for one in daemons:
        membership = one.service._core.membership
        for record in records:
            membership.merge_record(record, 0)
        state = membership.state
        while len(state.gossip):
            state.gossip.take(100_000, max_sends=1)


async def measure_idle(zone: Zone) -> Cost:
    """Return the cost per member and second of a zone without changes."""
    before = attrs.evolve(zone.network.traffic)
    cpu_s = time.process_time()
    await zone.timers.advance(IDLE_DURATION_S)
    cpu_s = time.process_time() - cpu_s
    after = zone.network.traffic
    return make_cost(before, after, cpu_s, IDLE_DURATION_S * len(zone.daemons))


def make_cost(
    before: Traffic,
    after: Traffic,
    cpu_s: float,
    seconds: float,
) -> Cost:
    """Return the cost per second; ``seconds`` is the sum over all members."""
    datagram_bytes = after.datagram_bytes - before.datagram_bytes
    stream_bytes = after.stream_bytes - before.stream_bytes
    return Cost(
        datagrams=round((after.datagrams - before.datagrams) / seconds, 2),
        datagram_bytes=round(datagram_bytes / seconds),
        stream_bytes=round(stream_bytes / seconds),
        cpu_ms=round(1000 * cpu_s / seconds, 2),
    )
