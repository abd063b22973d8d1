"""Place the order of a roll-out, start its VMs, and act on its end."""

import asyncio
from functools import partial

import anyio

from test.soak.mesh import SoakMesh
from test.soak.rollouts import (
    COMPLETED,
    DURATION_S,
    RECORD_KEY,
    ROLLED_BACK,
    STATUS_TOPIC,
    Rollout,
)
from test.system.mesh import poll

_MAX_DELAY_S = 2

#: Seconds after the deadline in which a run waits for the final state.
_END_TIMEOUT_S = 10.0

#: Seconds after which the new targets drain once they are rolled back.
_DRAIN_DELAY_S = 3.0


async def run_rollout(mesh: SoakMesh) -> None:
    """Play the roll-out of a run, if it has one; return after its end."""
    rollout = mesh.records.rollout
    if rollout is None:
        return
    await asyncio.sleep(rollout.rng.uniform(0, _MAX_DELAY_S))
    mesh.store.put('keyed.op', RECORD_KEY, rollout.order())
    for vm in mesh.new_vms:
        mesh.start_vm(vm)
    with anyio.move_on_after(DURATION_S + _END_TIMEOUT_S):
        await poll(partial(_has_ended, mesh, rollout))
    if COMPLETED in rollout.states:
        for old in mesh.vms:
            old.target.stop()
    if ROLLED_BACK in rollout.states:
        await asyncio.sleep(_DRAIN_DELAY_S)
        for new in mesh.new_vms:
            new.target.state = 'draining'


def read_states(mesh: SoakMesh, rollout: Rollout) -> None:
    """Take the states that the operator was shown from the store."""
    written = mesh.store.topics.get(STATUS_TOPIC)
    if written is not None:
        rollout.read_states(written.records)


async def _has_ended(mesh: SoakMesh, rollout: Rollout) -> bool:
    read_states(mesh, rollout)
    return rollout.has_ended
