import anyio
import attrs

from goldcrestwharf.log import LogFaults, LogLimits, MemoryLog
from goldcrestwharf.replay import (
    CONFIG_STREAM,
    AppliedChange,
    LogFollower,
    ReplaySettings,
    ReplicaState,
    SnapshotHolder,
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


class FollowerHarness:
    """A follower of a log in memory on a manual clock."""

    def __init__(self, limits: LogLimits | None = None) -> None:
        self.timers = ManualTimers()
        self.log = MemoryLog(timers=self.timers, limits=limits)
        self.holder = SnapshotHolder()
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


async def test_a_publish_is_activated_without_waiting_for_a_poll() -> None:
    harness = FollowerHarness()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        assert harness.version == V0
        await harness.add(second())
        assert harness.version == Version(1, 1)
        assert harness.timers.now() == 0
        tg.cancel_scope.cancel()


async def test_subscribers_receive_only_accepted_changes() -> None:
    harness = FollowerHarness()
    changes = harness.follower.feed.subscribe()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        await harness.add(make_publish(SECOND))
        await harness.add(second())
        tg.cancel_scope.cancel()
    got: list[AppliedChange] = [changes.receive_nowait() for _ in range(2)]
    assert [(each.base, each.version) for each in got] == [
        (None, V0),
        (V0, Version(1, 2)),
    ]
    assert not changes.statistics().current_buffer_used


async def test_a_slow_subscriber_is_disconnected() -> None:
    harness = FollowerHarness()
    changes = harness.follower.feed.subscribe()
    change = AppliedChange(base=None, version=V0, rules=1, digest='', delta=b'')
    for offset in range(300):
        version = Version(1, offset)
        harness.follower.feed.send(attrs.evolve(change, version=version))
    for _ in range(256):
        changes.receive_nowait()
    closed = False
    try:
        changes.receive_nowait()
    except anyio.EndOfStream:
        closed = True
    assert closed


async def test_an_outage_is_reported_and_followed_by_catching_up() -> None:
    harness = FollowerHarness()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        harness.log.inject_faults(LogFaults(is_unavailable=True))
        await harness.settle(5)
        assert 'log is unavailable' in harness.follower.status().last_error
        assert harness.version == V0
        harness.log.inject_faults(LogFaults())
        await harness.add(second())
        await harness.settle(1)
        assert harness.version == Version(1, 1)
        assert not harness.follower.status().last_error
        tg.cancel_scope.cancel()


async def test_a_replaced_log_leaves_the_version_running() -> None:
    harness = FollowerHarness()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        await harness.add(second())
        harness.log.replace()
        await harness.add(make_publish(SECOND))
        await harness.settle(3)
        assert harness.state is ReplicaState.LOG_REPLACED
        assert harness.version == Version(1, 1)
        await harness.add(make_epoch(FIRST, 2, 1))
        assert harness.state is ReplicaState.FOLLOWING
        assert harness.version == Version(2, 1)
        tg.cancel_scope.cancel()


async def test_a_log_replaced_and_grown_unseen_is_found_by_its_record() -> None:
    harness = FollowerHarness()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        harness.log.inject_faults(LogFaults(is_unavailable=True))
        await harness.settle(2)
        harness.log.replace()
        harness.log.inject_faults(LogFaults())
        bodies = [pack_record(make_publish(SECOND)) for _ in range(3)]
        await harness.log.append(CONFIG_STREAM, bodies)
        await harness.settle(2)
        assert harness.state is ReplicaState.LOG_REPLACED
        assert harness.version == V0
        tg.cancel_scope.cancel()


async def test_a_restarted_reader_activates_nothing_below_its_floor() -> None:
    harness = FollowerHarness()
    harness.holder.raise_floor(Version(1, 5))
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        await harness.settle(3)
        assert harness.version is None
        assert harness.state is ReplicaState.LOG_REPLACED
        tg.cancel_scope.cancel()


async def test_a_halted_reader_only_polls_the_end_of_the_log() -> None:
    harness = FollowerHarness()
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.add(make_publish(FIRST))
        await harness.add(
            make_publish(SECOND, base=V0, old=FIRST, rules=99),
        )
        await harness.add(second())
        await harness.settle(10)
        status = harness.follower.status().replica
        assert (status.state, status.lag) == (ReplicaState.HALTED, 2)
        assert harness.version == V0
        tg.cancel_scope.cancel()


async def test_a_reader_without_a_start_point_continues_from_a_peer() -> None:
    harness = FollowerHarness(LogLimits(retention_records=1))
    await harness.add(make_publish(FIRST))
    await harness.add(second())
    async with anyio.create_task_group() as tg:
        tg.start_soon(harness.follower.run)
        await harness.settle()
        assert harness.state is ReplicaState.NEEDS_PEERS
        snapshot = make_snapshot(FIRST, V0)
        assert harness.follower.adopt(snapshot)
        assert harness.version == Version(1, 1)
        tg.cancel_scope.cancel()
