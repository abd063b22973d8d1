import anyio
import attrs

from goldcrestwharf.log import LogFaults, LogLimits, MemoryLog
from goldcrestwharf.replay import (
    CONFIG_STREAM,
    AppliedChange,
    Holder,
    LogFollower,
    ReplaySettings,
    ReplicaState,
    Version,
    pack_record,
)
from goldcrestwharf.timers import ManualTimers
from test.helper import make_rng
from test.replay.helper import make_epoch, make_publish, make_set, make_snapshot

FIRST = make_set('menu')
SECOND = make_set('menu', 'orders')
V0 = Version(1, 0)

CFG = ReplaySettings(poll_ms=1000, backoff_base_ms=100, backoff_cap_ms=400)


class Bench:
    """Run a follower of a log in memory on a manual clock."""

    def __init__(self, limits: LogLimits | None = None) -> None:
        self.timers = ManualTimers()
        self.log = MemoryLog(timers=self.timers, limits=limits)
        self.holder = Holder()
        self.follower = LogFollower(
            log=self.log,
            holder=self.holder,
            timers=self.timers,
            rng=make_rng(),
            cfg=CFG,
        )

    async def add(self, record: object) -> None:
        await self.log.append(CONFIG_STREAM, [pack_record(record)])
        await self.settle()

    async def settle(self, seconds: float = 0) -> None:
        await self.timers.advance(seconds)
        await anyio.wait_all_tasks_blocked()

    @property
    def version(self) -> Version | None:
        snapshot = self.holder.snapshot
        return None if snapshot is None else snapshot.version

    @property
    def state(self) -> ReplicaState:
        return self.follower.status().replica.state


def second(base: Version = V0) -> object:
    return make_publish(SECOND, base=base, old=FIRST, publish_id='second')


async def test_a_publish_comes_into_force_without_waiting_for_a_poll() -> None:
    bench = Bench()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        assert bench.version == V0
        await bench.add(second())
        assert bench.version == Version(1, 1)
        assert bench.timers.now() == 0
        tg.cancel_scope.cancel()


async def test_subscribers_get_the_accepted_changes_alone() -> None:
    bench = Bench()
    changes = bench.follower.feed.subscribe()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        await bench.add(make_publish(SECOND))
        await bench.add(second())
        tg.cancel_scope.cancel()
    got: list[AppliedChange] = [changes.receive_nowait() for _ in range(2)]
    assert [(each.base, each.version) for each in got] == [
        (None, V0),
        (V0, Version(1, 2)),
    ]
    assert not changes.statistics().current_buffer_used


async def test_a_slow_subscriber_is_cut_off() -> None:
    bench = Bench()
    changes = bench.follower.feed.subscribe()
    change = AppliedChange(base=None, version=V0, rules=1, digest='', delta=b'')
    for offset in range(300):
        version = Version(1, offset)
        bench.follower.feed.send(attrs.evolve(change, version=version))
    for _ in range(256):
        changes.receive_nowait()
    closed = False
    try:
        changes.receive_nowait()
    except anyio.EndOfStream:
        closed = True
    assert closed


async def test_an_outage_is_reported_and_followed_by_catching_up() -> None:
    bench = Bench()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        bench.log.order(LogFaults(is_out=True))
        await bench.settle(5)
        assert 'out' in bench.follower.status().last_error
        assert bench.version == V0
        bench.log.order(LogFaults())
        await bench.add(second())
        await bench.settle(1)
        assert bench.version == Version(1, 1)
        assert not bench.follower.status().last_error
        tg.cancel_scope.cancel()


async def test_a_replaced_log_leaves_the_version_running() -> None:
    bench = Bench()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        await bench.add(second())
        bench.log.replace()
        await bench.add(make_publish(SECOND))
        await bench.settle(3)
        assert bench.state is ReplicaState.LOG_REPLACED
        assert bench.version == Version(1, 1)
        await bench.add(make_epoch(FIRST, 2, 1))
        assert bench.state is ReplicaState.FOLLOWING
        assert bench.version == Version(2, 1)
        tg.cancel_scope.cancel()


async def test_a_log_replaced_and_grown_unseen_is_found_by_its_record() -> None:
    bench = Bench()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        bench.log.order(LogFaults(is_out=True))
        await bench.settle(2)
        bench.log.replace()
        bench.log.order(LogFaults())
        bodies = [pack_record(make_publish(SECOND)) for _ in range(3)]
        await bench.log.append(CONFIG_STREAM, bodies)
        await bench.settle(2)
        assert bench.state is ReplicaState.LOG_REPLACED
        assert bench.version == V0
        tg.cancel_scope.cancel()


async def test_a_restarted_reader_runs_nothing_below_its_floor() -> None:
    bench = Bench()
    bench.holder.raise_floor(Version(1, 5))
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        await bench.settle(3)
        assert bench.version is None
        assert bench.state is ReplicaState.LOG_REPLACED
        tg.cancel_scope.cancel()


async def test_a_halted_reader_looks_at_the_log_only_now_and_then() -> None:
    bench = Bench()
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.add(make_publish(FIRST))
        await bench.add(
            make_publish(SECOND, base=V0, old=FIRST, rules=99),
        )
        await bench.add(second())
        await bench.settle(10)
        status = bench.follower.status().replica
        assert (status.state, status.lag) == (ReplicaState.HALTED, 2)
        assert bench.version == V0
        tg.cancel_scope.cancel()


async def test_a_reader_without_a_start_goes_on_from_a_peer() -> None:
    bench = Bench(LogLimits(retention_records=1))
    await bench.add(make_publish(FIRST))
    await bench.add(second())
    async with anyio.create_task_group() as tg:
        tg.start_soon(bench.follower.run)
        await bench.settle()
        assert bench.state is ReplicaState.NEEDS_PEERS
        snapshot = make_snapshot(FIRST, V0)
        assert bench.follower.adopt(snapshot)
        assert bench.version == Version(1, 1)
        tg.cancel_scope.cancel()
