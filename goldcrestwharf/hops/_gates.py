"""Keep the slot gate of each target on this VM."""

from goldcrestwharf.limits import SlotGate
from goldcrestwharf.membership import Target
from goldcrestwharf.replay import Holder
from goldcrestwharf.timers import Timers


class Gates:
    """Make a gate for each target and let it follow what is announced."""

    def __init__(self, *, holder: Holder, timers: Timers) -> None:
        """Take the lengths of the queues from the objects in force."""
        self._holder = holder
        self._timers = timers
        self._gates: dict[str, SlotGate] = {}
        self._slots: dict[str, int] = {}

    def find(self, target: Target) -> SlotGate:
        """Return the gate of ``target``, with the slots that it has now."""
        gate = self._gates.get(target.address)
        if gate is None:
            gate = self._add(target)
        if self._slots[target.address] != target.slots:
            self._slots[target.address] = target.slots
            gate.resize(target.slots)
        return gate

    def _add(self, target: Target) -> SlotGate:
        gate = SlotGate(
            slots=target.slots,
            queue=self._queue_of(target),
            timers=self._timers,
        )
        self._gates[target.address] = gate
        self._slots[target.address] = target.slots
        return gate

    def _queue_of(self, target: Target) -> int:
        snapshot = self._holder.snapshot
        if snapshot is None:
            return 0
        group = snapshot.objects.target_groups.get(target.group)
        return 0 if group is None else group.queue
