"""Keep a slot gate for each target on this VM."""

from goldcrestwharf.limits import SlotGate
from goldcrestwharf.membership import Target
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.timers import Timers

#: Number of gates at which idle ones are discarded before one is added. A VM
#: has fewer targets than this.
_MAX_GATES = 128


class SlotGates:
    """The slot gates of the targets on this VM, by address.

    Each gate follows the announced slots of its target and the queue length
    in the current configuration.
    """

    def __init__(self, *, holder: SnapshotHolder, timers: Timers) -> None:
        """Read the queue lengths from the configuration in ``holder``."""
        self._holder = holder
        self._timers = timers
        self._gates: dict[str, SlotGate] = {}

    def find(self, target: Target) -> SlotGate:
        """Return the gate of ``target`` with its current slots and queue."""
        queue = self._queue_of(target)
        gate = self._gates.get(target.address)
        if gate is None:
            return self._add(target, queue)
        gate.resize(target.slots, queue=queue)
        return gate

    def _add(self, target: Target, queue: int) -> SlotGate:
        if len(self._gates) >= _MAX_GATES:
            self._gates = {
                address: gate
                for address, gate in self._gates.items()
                if _is_in_use(gate)
            }
        gate = SlotGate(slots=target.slots, queue=queue, timers=self._timers)
        self._gates[target.address] = gate
        return gate

    def _queue_of(self, target: Target) -> int:
        snapshot = self._holder.snapshot
        if snapshot is None:
            return 0
        group = snapshot.objects.target_groups.get(target.group)
        return 0 if group is None else group.queue


def _is_in_use(gate: SlotGate) -> bool:
    load = gate.load()
    return bool(load.in_use or load.queued)
