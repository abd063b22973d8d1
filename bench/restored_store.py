"""Measure how soon a change is in force after a store was restored.

Daemons of one zone read a store that is silent for a moment, comes back from
an older copy, and never answers the reads that waited; their connections stay
open. Prints one JSON line: seconds from the write of a version after the
return until all daemons run it.
"""

import asyncio
import json
import time

from test.platform.helper import (
    StubStore,
    make_configuration,
    open_stub,
    run_platform_tasks,
)
from test.proxy.helper import Vm, open_vms, wait_until

#: Each of them is a reader of the store.
_DAEMONS = 4
_SILENCE_S = 0.8
_TOPIC = 'keyed.op'


def _write(stub: StubStore, version: int) -> None:
    encoded = json.dumps(make_configuration(version)).encode()
    stub.put(_TOPIC, 'config', encoded)


async def _wait_for(vms: list[Vm], version: int) -> float:
    began_at = time.monotonic()
    await wait_until(lambda: {vm.holder.version for vm in vms} == {version})
    return time.monotonic() - began_at


async def _measure() -> float:
    async with open_stub() as stub, open_vms(_DAEMONS, zones=('a',)) as vms:
        _write(stub, 3)
        async with run_platform_tasks(stub, vms):
            await _wait_for(vms, 3)
            # All reads wait from the same change on.
            _write(stub, 4)
            await _wait_for(vms, 4)
            await asyncio.sleep(1)
            stub.restore(_TOPIC, 0, swallows=True)
            await asyncio.sleep(_SILENCE_S)
            _write(stub, 4)
            _write(stub, 6)
            return await _wait_for(vms, 6)


def main() -> None:
    """Measure once."""
    delay = asyncio.run(_measure())
    print(json.dumps({'daemons': _DAEMONS, 'in_force_s': round(delay, 2)}))


if __name__ == '__main__':
    main()
