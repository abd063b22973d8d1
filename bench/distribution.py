"""Measure convergence, control bytes and storms of the distribution.

All daemons share one process and so one core: the time of a change is an
upper bound that grows with their number, since their work, which real
daemons do side by side, is done in turn. Processor time is that of all
daemons together, with their peer streams.

    python -m bench.distribution convergence|coalescing|storm|idle
"""

import logging
import statistics
import sys
from types import MappingProxyType

import anyio

from bench.distribution_mesh import Mesh, make_snapshot
from bench.usage import Usage, report
from goldcrestwharf.distribution import DistributionSettings
from goldcrestwharf.objects import encode_objects
from goldcrestwharf.replay import Version

_CHANGES = 20
_BURST = 40
_BURST_GAP_S = 0.05
_IDLE_S = 6
_FIRST = Version(1, 0)


async def measure_change(size: int, services: int) -> None:
    """Change a running mesh, one change at a time."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    snapshots = [make_snapshot(one, services) for one in range(_CHANGES)]
    times: list[float] = []
    async with mesh.running():
        mesh.publish(snapshots[0])
        await mesh.wait_for(_FIRST)
        before = Usage.now()
        for snapshot in snapshots[1:]:
            mesh.publish(snapshot)
            times.append(await mesh.wait_for(snapshot.version))
        used = Usage.now().since(before)
    each = len(times) * size
    report(
        'distribution.change',
        daemons=size,
        services=services,
        p50_ms=round(statistics.median(times) * 1000, 1),
        max_ms=round(max(times) * 1000, 1),
        bytes_per_change_per_daemon=round(used.sent / each),
        cpu_ms_per_change_per_daemon=round(used.processor_s / each * 1000, 2),
        full_set_bytes=len(encode_objects(snapshots[0].objects)),
    )


async def measure_reader_loss(size: int) -> None:
    """Kill a reader in the middle of a change."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    async with mesh.running():
        mesh.publish(make_snapshot(0, 100))
        await mesh.wait_for(_FIRST)
        reader = next(node for node in mesh.nodes if node.is_reading)
        mesh.publish(make_snapshot(1, 100))
        reader.scope.cancel()
        mesh.nodes.remove(reader)
        mesh.members.remove(reader.local_member())
        taken = await mesh.wait_for(Version(1, 1))
    report(
        'distribution.reader_killed',
        daemons=size,
        ms=round(taken * 1000, 1),
    )


async def measure_window(window_ms: int) -> None:
    """Publish a burst of changes under one coalescing window."""
    size = 40
    cfg = DistributionSettings(coalescing_window_ms=window_ms)
    mesh = Mesh(size=size, cfg=cfg)
    async with mesh.running():
        mesh.publish(make_snapshot(0, 200))
        await mesh.wait_for(_FIRST)
        before = Usage.now()
        for offset in range(1, _BURST + 1):
            mesh.publish(make_snapshot(offset, 200))
            await anyio.sleep(_BURST_GAP_S)
        late = await mesh.wait_for(Version(1, _BURST))
        used = Usage.now().since(before)
    report(
        'distribution.coalescing',
        window_ms=window_ms,
        daemons=size,
        changes=_BURST,
        last_change_ms=round((late + _BURST_GAP_S) * 1000),
        bytes_per_change_per_daemon=round(used.sent / _BURST / size),
    )


async def measure_storm(size: int) -> None:
    """Let a zone's daemons come to two readers at once with nothing."""
    mesh = Mesh(size=2, cfg=DistributionSettings())
    async with mesh.running() as tg:
        mesh.publish(make_snapshot(0, 2000))
        await mesh.wait_for(_FIRST)
        before = Usage.now()
        for number in range(size):
            await mesh.add(f'new-{number}', tg)
        await mesh.wait_for(_FIRST)
        used = Usage.now().since(before)
    report(
        'distribution.storm',
        daemons=size,
        services=2000,
        recovered_ms=round(used.wall_s * 1000),
        bytes_per_daemon=round(used.sent / size),
        cpu_ms_per_daemon=round(used.processor_s / size * 1000, 1),
    )


async def measure_idle(size: int) -> None:
    """Leave a mesh to itself."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    async with mesh.running():
        mesh.publish(make_snapshot(0, 200))
        await mesh.wait_for(_FIRST)
        await anyio.sleep(_IDLE_S / 2)
        before = Usage.now()
        await anyio.sleep(_IDLE_S)
        used = Usage.now().since(before)
    each = used.wall_s * size
    report(
        'distribution.idle',
        daemons=size,
        bytes_per_s_per_daemon=round(used.sent / each, 1),
        core_percent_per_daemon=round(used.processor_s / each * 100, 3),
    )


async def _measure_convergence() -> None:
    for size in (10, 20, 40, 80):
        await measure_change(size, 200)
    for services in (500, 1000, 2000):
        await measure_change(20, services)
    for killed in (20, 40, 80):
        await measure_reader_loss(killed)


async def _measure_coalescing() -> None:
    for window_ms in (0, 100, 200, 400, 800):
        await measure_window(window_ms)


async def _measure_storms() -> None:
    for size in (20, 40, 80):
        await measure_storm(size)


async def _measure_idle() -> None:
    for size in (20, 40, 80):
        await measure_idle(size)


_KINDS = MappingProxyType(
    {
        'convergence': _measure_convergence,
        'coalescing': _measure_coalescing,
        'storm': _measure_storms,
        'idle': _measure_idle,
    },
)


async def measure() -> None:
    """Run the kinds of measurements that were asked for, else all."""
    # Streams that break when a mesh is torn down are no finding.
    logging.disable(logging.CRITICAL)
    for kind in sys.argv[1:] or _KINDS:
        await _KINDS[kind]()


if __name__ == '__main__':
    anyio.run(measure)
