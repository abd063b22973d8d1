"""Measure idle daemons: memory, processor time and control bytes.

Starts a stand-in for the platform log and daemons in two availability zones,
all in separate processes, publishes one object set and measures for 12 s.

    python -m bench.daemons [SERVICES]
"""

import json
import os
import sys
import tempfile
import time
from pathlib import Path

import anyio
import attrs

from bench.usage import report
from test.system.mesh import Mesh, Vm

_IDLE_DURATION_S = 12
_SIZES = (2, 4, 8, 16)
_ZONES = ('recife-a', 'recife-b')
_CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MIB = 1024 * 1024


@attrs.frozen(kw_only=True)
class Sample:
    """The resources that a daemon has used since it started."""

    processor_s: float
    memory_bytes: int
    sent_bytes: int


def make_large_object_set(services: int) -> str:
    """Return an object set with one group and one route per service."""
    numbers = range(services)
    return json.dumps(
        {
            'target_groups': {f'pool-{one}': {} for one in numbers},
            'services': {
                f'service-{one}': {'target_group': f'pool-{one}'}
                for one in numbers
            },
            'routes': {
                f'route-{one}': {
                    'service': f'service-{one}',
                    'path_prefix': f'/service-{one}',
                }
                for one in numbers
            },
        },
    )


async def take_sample(mesh: Mesh, vm: Vm) -> Sample:
    """Return the resources that the daemon of ``vm`` has used so far."""
    assert vm.daemon.running is not None
    pid = vm.daemon.running.pid
    stat = await anyio.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    statm = await anyio.Path(f'/proc/{pid}/statm').read_text()
    pages = int(statm.split()[1])
    status = await mesh.call_admin_api(vm, '/v1/status')
    return Sample(
        processor_s=(int(fields[11]) + int(fields[12])) / _CPU_TICKS_PER_S,
        memory_bytes=pages * _PAGE_BYTES,
        sent_bytes=int(str(status['control_bytes_sent'])),
    )


async def publish_everywhere(mesh: Mesh, services: int) -> float:
    """Publish a first set; return the seconds until it is active everywhere."""
    text = make_large_object_set(services)
    outcome = await mesh.publish(mesh.vms[0], text)
    started_at = time.perf_counter()
    await mesh.wait_for_version(str(outcome['version']), mesh.vms)
    activation_s = time.perf_counter() - started_at
    await anyio.sleep(2)
    return activation_s


async def take_samples(mesh: Mesh) -> list[Sample]:
    """Return the resources that each daemon has used so far."""
    return [await take_sample(mesh, vm) for vm in mesh.vms]


async def measure(size: int, services: int) -> None:
    """Measure ``size`` idle daemons."""
    zones = [_ZONES[number % 2] for number in range(size)]
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), zones) as mesh:
            activation_s = await publish_everywhere(mesh, services)
            before = await take_samples(mesh)
            await anyio.sleep(_IDLE_DURATION_S)
            after = await take_samples(mesh)
    processor_seconds = [
        later.processor_s - earlier.processor_s
        for earlier, later in zip(before, after, strict=True)
    ]
    sent_bytes = [
        later.sent_bytes - earlier.sent_bytes
        for earlier, later in zip(before, after, strict=True)
    ]
    report(
        'daemons.idle',
        daemons=size,
        services=services,
        first_set_in_force_ms=round(activation_s * 1000),
        core_percent_mean=round(
            sum(processor_seconds) / size / _IDLE_DURATION_S * 100, 2
        ),
        core_percent_max=round(
            max(processor_seconds) / _IDLE_DURATION_S * 100, 2
        ),
        sent_bytes_per_s_mean=round(sum(sent_bytes) / size / _IDLE_DURATION_S),
        sent_bytes_per_s_max=round(max(sent_bytes) / _IDLE_DURATION_S),
        memory_mib_max=round(
            max(sample.memory_bytes for sample in after) / _MIB,
            1,
        ),
    )


async def main() -> None:
    """Measure each size."""
    services = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    for size in _SIZES:
        await measure(size, services)


if __name__ == '__main__':
    anyio.run(main)
