"""Check that slot gates follow announced slots and published queues."""

import attrs

from goldcrestwharf.hops._slot_gates import SlotGates
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.membership import Target
from goldcrestwharf.objects import ObjectSet, TargetGroup
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import ManualTimers

TARGET = Target(name='menu-1', group='pool', address='127.0.0.1:9001', slots=1)


def publish(holder: SnapshotHolder, offset: int, *, queue: int) -> None:
    holder.offer(
        Snapshot(
            version=Version(1, offset),
            digest=str(offset),
            objects=ObjectSet(target_groups={'pool': TargetGroup(queue=queue)}),
        ),
    )


async def test_published_queue_length_applies_to_a_gate_in_use() -> None:
    holder = SnapshotHolder()
    gates = SlotGates(holder=holder, timers=ManualTimers())
    publish(holder, 0, queue=5)
    first = gates.find(TARGET)
    assert await first.admit(remaining=1, caller='a') is None
    publish(holder, 1, queue=0)
    refusal = await gates.find(TARGET).admit(remaining=1, caller='a')
    assert refusal is not None
    assert refusal.reason is RefusalReason.QUEUE_FULL
    assert gates.find(TARGET) is first


async def test_announced_slots_apply_to_a_gate_in_use() -> None:
    gates = SlotGates(holder=SnapshotHolder(), timers=ManualTimers())
    await gates.find(TARGET).admit(remaining=1, caller='a')
    wider = attrs.evolve(TARGET, slots=2)
    assert await gates.find(wider).admit(remaining=1, caller='a') is None


async def test_idle_gates_are_discarded_and_busy_ones_kept() -> None:
    gates = SlotGates(holder=SnapshotHolder(), timers=ManualTimers())
    busy = gates.find(TARGET)
    await busy.admit(remaining=1, caller='a')
    for port in range(10_000, 11_000):
        gates.find(attrs.evolve(TARGET, address=f'127.0.0.1:{port}'))
    assert len(gates._gates) <= 128
    assert gates.find(TARGET) is busy
