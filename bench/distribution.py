"""Measure convergence, control bytes and load peaks of the distribution.

All daemons share one process and thus one core. The time of a change is
therefore an upper bound that grows with their number: work that separate
daemons do in parallel is done sequentially here. Processor time is that of
all daemons together, including their peer connections.

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

_CHANGE_COUNT = 20
_BURST_CHANGES = 40
_BURST_INTERVAL_S = 0.05
_IDLE_DURATION_S = 6
_FIRST_VERSION = Version(1, 0)


async def measure_change(size: int, services: int) -> None:
    """Publish changes one at a time and measure their distribution."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    snapshots = [make_snapshot(one, services) for one in range(_CHANGE_COUNT)]
    times: list[float] = []
    async with mesh.running():
        mesh.publish(snapshots[0])
        await mesh.wait_for(_FIRST_VERSION)
        before = Usage.now()
        for snapshot in snapshots[1:]:
            mesh.publish(snapshot)
            times.append(await mesh.wait_for(snapshot.version))
        usage = Usage.now().since(before)
    daemon_changes = len(times) * size
    report(
        'distribution.change',
        daemons=size,
        services=services,
        p50_ms=round(statistics.median(times) * 1000, 1),
        max_ms=round(max(times) * 1000, 1),
        bytes_per_change_per_daemon=round(usage.sent / daemon_changes),
        cpu_ms_per_change_per_daemon=round(
            usage.processor_s / daemon_changes * 1000, 2
        ),
        full_set_bytes=len(encode_objects(snapshots[0].objects)),
    )


async def measure_reader_loss(size: int) -> None:
    """Measure a change during which a reader is killed."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    async with mesh.running():
        mesh.publish(make_snapshot(0, 100))
        await mesh.wait_for(_FIRST_VERSION)
        reader = next(node for node in mesh.nodes if node.is_reading)
        mesh.publish(make_snapshot(1, 100))
        reader.scope.cancel()
        mesh.nodes.remove(reader)
        mesh.members.remove(reader.local_member())
        recovery_s = await mesh.wait_for(Version(1, 1))
    report(
        'distribution.reader_killed',
        daemons=size,
        ms=round(recovery_s * 1000, 1),
    )


async def measure_window(window_ms: int) -> None:
    """Publish a burst of changes with one coalescing window."""
    size = 40
    cfg = DistributionSettings(coalescing_window_ms=window_ms)
    mesh = Mesh(size=size, cfg=cfg)
    async with mesh.running():
        mesh.publish(make_snapshot(0, 200))
        await mesh.wait_for(_FIRST_VERSION)
        before = Usage.now()
        for offset in range(1, _BURST_CHANGES + 1):
            mesh.publish(make_snapshot(offset, 200))
            await anyio.sleep(_BURST_INTERVAL_S)
        remaining_s = await mesh.wait_for(Version(1, _BURST_CHANGES))
        usage = Usage.now().since(before)
    report(
        'distribution.coalescing',
        window_ms=window_ms,
        daemons=size,
        changes=_BURST_CHANGES,
        last_change_ms=round((remaining_s + _BURST_INTERVAL_S) * 1000),
        bytes_per_change_per_daemon=round(usage.sent / _BURST_CHANGES / size),
    )


async def measure_storm(size: int) -> None:
    """Start many daemons without a configuration at once, with two readers."""
    mesh = Mesh(size=2, cfg=DistributionSettings())
    async with mesh.running() as tg:
        mesh.publish(make_snapshot(0, 2000))
        await mesh.wait_for(_FIRST_VERSION)
        before = Usage.now()
        for number in range(size):
            await mesh.add(f'new-{number}', tg)
        await mesh.wait_for(_FIRST_VERSION)
        usage = Usage.now().since(before)
    report(
        'distribution.storm',
        daemons=size,
        services=2000,
        recovered_ms=round(usage.wall_s * 1000),
        bytes_per_daemon=round(usage.sent / size),
        cpu_ms_per_daemon=round(usage.processor_s / size * 1000, 1),
    )


async def measure_idle(size: int) -> None:
    """Measure a mesh without changes."""
    mesh = Mesh(size=size, cfg=DistributionSettings())
    async with mesh.running():
        mesh.publish(make_snapshot(0, 200))
        await mesh.wait_for(_FIRST_VERSION)
        await anyio.sleep(_IDLE_DURATION_S / 2)
        before = Usage.now()
        await anyio.sleep(_IDLE_DURATION_S)
        usage = Usage.now().since(before)
    daemon_seconds = usage.wall_s * size
    report(
        'distribution.idle',
        daemons=size,
        bytes_per_s_per_daemon=round(usage.sent / daemon_seconds, 1),
        core_percent_per_daemon=round(
            usage.processor_s / daemon_seconds * 100, 3
        ),
    )


async def _measure_convergence() -> None:
    for size in (10, 20, 40, 80):
        await measure_change(size, 200)
    for services in (500, 1000, 2000):
        await measure_change(20, services)
    for daemon_count in (20, 40, 80):
        await measure_reader_loss(daemon_count)


async def _measure_coalescing() -> None:
    for window_ms in (0, 100, 200, 400, 800):
        await measure_window(window_ms)


async def _measure_storms() -> None:
    for size in (20, 40, 80):
        await measure_storm(size)


async def _measure_idle() -> None:
    for size in (20, 40, 80):
        await measure_idle(size)


_MEASUREMENTS = MappingProxyType(
    {
        'convergence': _measure_convergence,
        'coalescing': _measure_coalescing,
        'storm': _measure_storms,
        'idle': _measure_idle,
    },
)


async def measure() -> None:
    """Run the measurements named on the command line, by default all."""
    # Connections break when a mesh is shut down; don't log that.
    logging.disable(logging.CRITICAL)
    for name in sys.argv[1:] or _MEASUREMENTS:
        await _MEASUREMENTS[name]()


if __name__ == '__main__':
    anyio.run(measure)
