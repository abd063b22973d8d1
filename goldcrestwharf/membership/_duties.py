"""Choose who holds a duty, by rendezvous hashing over the own view.

Each member gets a weight from a hash of the duty and its name; the highest
weights win. A member that comes or goes moves only the duties that it wins
or held. Two daemons with different views may both believe that they hold a
duty, so every duty has to be harmless when held twice.
"""

import hashlib
from collections.abc import Collection, Sequence

import attrs

from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._table import MemberTable

_WEIGHT_BYTES = 8


@attrs.frozen(kw_only=True)
class _Choice:
    """Keep who was chosen and for which states of the members."""

    version: int
    vms: tuple[str, ...]


class Duties:
    """Answer who holds a duty in a zone, as this daemon sees it."""

    def __init__(self, *, table: MemberTable, vm: str) -> None:
        """Choose among the members in ``table``, in the name of ``vm``."""
        self._table = table
        self._vm = vm
        self._choices: dict[tuple[str, str, int], _Choice] = {}

    def holders(self, duty: str, zone: str, count: int) -> Sequence[Member]:
        """Return up to ``count`` members that hold ``duty`` in ``zone``.

        Only members that are alive hold duties; if there is none, those
        under suspicion do.
        """
        key = (duty, zone, count)
        choice = self._choices.get(key)
        version = self._table.live.versions[zone]
        if choice is None or choice.version != version:
            vms = self._choose(duty, zone)[:count]
            choice = _Choice(version=version, vms=vms)
            self._choices[key] = choice
        found = (self._table.get(vm) for vm in choice.vms)
        return [record for record in found if record is not None]

    def is_holder(self, duty: str, zone: str, count: int) -> bool:
        """Tell whether this daemon is among the holders."""
        holders = self.holders(duty, zone, count)
        return any(one.vm == self._vm for one in holders)

    def _choose(self, duty: str, zone: str) -> tuple[str, ...]:
        records = self._table.records(zone)
        able = _list_vms(records, MemberState.ALIVE)
        able = able or _list_vms(records, MemberState.SUSPECT)
        weighted = [(weigh(duty, vm), vm) for vm in able]
        weighted.sort(reverse=True)
        return tuple(vm for _, vm in weighted)


def weigh(duty: str, vm: str) -> int:
    """Return the weight of ``vm`` for ``duty``, the same on each daemon."""
    named = f'{duty}|{vm}'.encode()
    digest = hashlib.blake2b(named, digest_size=_WEIGHT_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _list_vms(
    records: Collection[Member],
    state: MemberState,
) -> list[str]:
    return [record.vm for record in records if record.state is state]
