"""Test the distribution between daemons under faults, on a manual clock."""

import attrs
import pytest

from goldcrestwharf.distribution import DistributionSettings
from goldcrestwharf.distribution._messages import Busy, Fetch, Full, Step
from goldcrestwharf.objects import RULES_REVISION
from test.distribution.mesh import Mesh, Node, make_snapshot

ZONE = 'recife-a'
OTHER = 'recife-b'

#: Requirement: an accepted version is active on every daemon by then.
ACTIVATION_LIMIT_S = 5

#: Disables the periodic comparison, so that it can't repair the tree's faults.
WITHOUT_COMPARISON = DistributionSettings(fan_out=4, compare_period_ms=300_000)


async def test_each_change_reaches_all_and_only_deltas_are_sent() -> None:
    async with Mesh({ZONE: 30}) as mesh:
        mesh.publish(make_snapshot(1, services=50))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {1}
        mesh.network.sent_bytes = 0
        mesh.publish(make_snapshot(2, services=50))
        await mesh.timers.advance(0)
        assert mesh.versions() == {2}
        assert mesh.network.sent_bytes < 30 * 1000


async def test_only_readers_follow_the_log() -> None:
    async with Mesh({ZONE: 30, OTHER: 30}) as mesh:
        assert len(mesh.readers(ZONE)) == 2
        assert len(mesh.readers(OTHER)) == 2


def freeze(node: Node) -> None:
    node.frozen = True


def cut_log(node: Node) -> None:
    node.log_healthy = False


@pytest.mark.parametrize('fault', [Node.kill, freeze, cut_log])
async def test_change_reaches_all_if_a_reader_fails(
    fault: object,
) -> None:
    async with Mesh({ZONE: 30}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        fault(mesh.readers()[0])
        mesh.publish(make_snapshot(2))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {2}


async def test_change_reaches_all_if_relays_die() -> None:
    async with Mesh({ZONE: 60}, cfg=WITHOUT_COMPARISON) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        relays = {node.distribution.status().parent for node in mesh.nodes}
        for vm in relays - {'', *(reader.vm for reader in mesh.readers())}:
            mesh.network.nodes[vm].kill()
        mesh.publish(make_snapshot(2))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {2}


async def test_zone_without_platform_follows_readers_of_another_zone() -> None:
    async with Mesh({ZONE: 10, OTHER: 10}, cfg=WITHOUT_COMPARISON) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        for node in mesh.nodes:
            node.log_healthy = node.zone == ZONE
        await mesh.timers.advance(1)
        mesh.publish(make_snapshot(2))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {2}


async def test_isolated_zone_keeps_its_version_and_catches_up() -> None:
    async with Mesh({ZONE: 10, OTHER: 10}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        mesh.network.cut_zones(ZONE, OTHER)
        for node in mesh.nodes:
            node.log_healthy = node.zone == ZONE
        for offset in range(2, 40):
            mesh.publish(make_snapshot(offset))
            await mesh.timers.advance(1)
        assert mesh.versions() == {1, 39}
        mesh.network.cuts.clear()
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {39}


async def test_resumed_daemon_lowers_no_version() -> None:
    async with Mesh({ZONE: 12}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        paused = mesh.readers()[0]
        paused.frozen = True
        paused.log_healthy = False
        mesh.publish(make_snapshot(2))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        paused.frozen = False
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {2}


async def test_comparison_repairs_what_the_tree_missed() -> None:
    async with Mesh({ZONE: 12}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        isolated = next(node for node in mesh.nodes if not node.reading)
        for vm in ('', *(member.vm for member in isolated.members())):
            mesh.network.cuts.add(frozenset((isolated.vm, vm)))
        parents = {one.vm for one in isolated.distribution._position.parents()}
        mesh.publish(make_snapshot(2))
        await mesh.timers.advance(1)
        mesh.network.cuts = {frozenset((isolated.vm, vm)) for vm in parents}
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert mesh.versions() == {2}


async def test_relay_limits_concurrent_snapshots() -> None:
    cfg = DistributionSettings(snapshots_at_once=2)
    async with Mesh({ZONE: 2}, cfg=cfg) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(1)
        relay = mesh.readers()[0].distribution._relay
        answers: list[object] = []

        async def fetch() -> None:
            answers.append(await relay.answer(Fetch(), None))

        for _ in range(5):
            mesh.tg.start_soon(fetch)
        await mesh.timers.advance(1)
        kinds = sorted(type(answer).__name__ for answer in answers)
        assert kinds == ['Busy', 'Busy', 'Busy', 'Full', 'Full']


async def test_new_daemon_gets_the_whole_configuration() -> None:
    async with Mesh({ZONE: 12}) as mesh:
        mesh.publish(make_snapshot(1, services=20))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        new_daemon = mesh.add('recife-a-new', ZONE)
        mesh.tg.start_soon(new_daemon.run)
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert new_daemon.holder.snapshot == make_snapshot(1, services=20)


async def test_daemon_activates_nothing_below_its_floor() -> None:
    async with Mesh({ZONE: 6}) as mesh:
        mesh.publish(make_snapshot(3))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        new_daemon = mesh.add('recife-a-new', ZONE)
        new_daemon.holder.raise_floor(make_snapshot(4).version)
        mesh.tg.start_soon(new_daemon.run)
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert new_daemon.holder.snapshot is None
        mesh.publish(make_snapshot(4))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert new_daemon.holder.snapshot == make_snapshot(4)


async def test_many_new_daemons_at_once_are_all_served_by_retry_delays() -> (
    None
):
    cfg = DistributionSettings(fan_out=100, snapshots_at_once=2)
    async with Mesh({ZONE: 2}, cfg=cfg) as mesh:
        mesh.publish(make_snapshot(1, services=20))
        await mesh.timers.advance(1)
        for number in range(80):
            new_daemon = mesh.add(f'new-{number}', ZONE)
            mesh.tg.start_soon(new_daemon.run)
        await mesh.timers.advance(20)
        assert mesh.versions() == {1}


@pytest.mark.parametrize(
    'wrong',
    [{'digest': '0' * 64}, {'delta': b'\xc1'}, {'base': '1.0'}],
)
async def test_wrong_step_is_refused_and_replaced_by_a_valid_answer(
    wrong: dict[str, object],
) -> None:
    async with Mesh({ZONE: 3}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        follower = next(node for node in mesh.nodes if not node.reading)
        fetch = Fetch(version='1.1', digest=make_snapshot(1).digest)
        reader = mesh.readers()[0]
        reader.holder.offer(make_snapshot(2))
        step = await reader.distribution._relay.answer(fetch, None)
        assert isinstance(step, Step)
        adopter = follower.distribution._adopter
        assert not adopter.apply_step(attrs.evolve(step, **wrong))
        assert follower.holder.snapshot == make_snapshot(1)
        assert adopter.needs_full is ('base' not in wrong)
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        assert follower.holder.snapshot == make_snapshot(2)


@pytest.mark.parametrize(
    'wrong',
    [{'digest': '0' * 64}, {'objects': b'\xc1'}],
)
async def test_wrong_snapshot_is_refused_and_reported(
    wrong: dict[str, object],
) -> None:
    async with Mesh({ZONE: 3}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        node = mesh.nodes[0]
        full = node.distribution._relay._history.full(make_snapshot(2))
        assert isinstance(full, Full)
        adopter = node.distribution._adopter
        assert not adopter.apply_full(attrs.evolve(full, **wrong))
        assert node.holder.snapshot == make_snapshot(1)
        assert 'version 1.2' in node.distribution.status().last_error


async def test_version_under_later_rules_is_not_adopted_from_a_relay() -> None:
    async with Mesh({ZONE: 8}) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        later = attrs.evolve(make_snapshot(2), rules=RULES_REVISION + 1)
        mesh.publish(later)
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        mesh.network.calls.clear()
        await mesh.timers.advance(60)
        followers = [node for node in mesh.nodes if not node.reading]
        for node in followers:
            status = node.distribution.status()
            assert node.holder.snapshot == make_snapshot(1)
            assert 'finish the upgrade' in status.last_error
        assert len(mesh.network.calls) < len(followers) * 60 * 2


async def test_relay_refuses_fetches_beyond_its_limit() -> None:
    cfg = DistributionSettings(fetches_at_once=2)
    async with Mesh({ZONE: 4}, cfg=cfg) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        relay = mesh.readers()[0].distribution._relay
        fetch = Fetch(
            version='1.1',
            digest=make_snapshot(1).digest,
            wait_ms=1000,
        )
        for _ in range(2):
            mesh.tg.start_soon(relay.answer, fetch, None)
        await mesh.timers.advance(0)
        answer = await relay.answer(fetch, None)
        assert isinstance(answer, Busy)
        assert answer.retry_after_ms > 0


async def test_coalescing_window_merges_changes_into_one_step() -> None:
    cfg = DistributionSettings(coalescing_window_ms=400)
    async with Mesh({ZONE: 6}, cfg=cfg) as mesh:
        mesh.publish(make_snapshot(1))
        await mesh.timers.advance(ACTIVATION_LIMIT_S)
        follower = next(node for node in mesh.nodes if not node.reading)
        follower.history.clear()
        for offset in (2, 3, 4):
            mesh.publish(make_snapshot(offset))
            await mesh.timers.advance(0.05)
        await mesh.timers.advance(1)
        assert mesh.versions() == {4}
        assert [version.offset for version in follower.history] == [4]
