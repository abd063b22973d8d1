"""Assign roles to members by rendezvous hashing over the local view.

Each member gets a weight from a hash of the role and its name; the highest
weights win. A member that joins or leaves moves only the roles that it wins
or held. Two daemons with different views may both believe that they hold a
role, so every role has to be harmless when held twice.
"""

import hashlib
from collections.abc import Collection, Sequence

import attrs

from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._table import MemberTable

_WEIGHT_BYTES = 8


@attrs.frozen(kw_only=True)
class _Choice:
    """Cached choice of VMs and the version of the zone it was made for."""

    version: int
    vms: tuple[str, ...]


class RoleAssignment:
    """Holders of roles in a zone, according to this daemon's view."""

    def __init__(self, *, table: MemberTable, vm: str) -> None:
        """Choose among the members in ``table``; ``vm`` is the local one."""
        self._table = table
        self._vm = vm
        self._choices: dict[tuple[str, str, int], _Choice] = {}

    def holders(self, role: str, zone: str, count: int) -> Sequence[Member]:
        """Return up to ``count`` members that hold ``role`` in ``zone``.

        Only members that are alive hold roles; if there is none, suspects
        do.
        """
        key = (role, zone, count)
        choice = self._choices.get(key)
        version = self._table.live.versions[zone]
        if choice is None or choice.version != version:
            vms = self._choose(role, zone)[:count]
            choice = _Choice(version=version, vms=vms)
            self._choices[key] = choice
        found = (self._table.get(vm) for vm in choice.vms)
        return [record for record in found if record is not None]

    def is_holder(self, role: str, zone: str, count: int) -> bool:
        """Return whether this daemon is among the holders."""
        holders = self.holders(role, zone, count)
        return any(one.vm == self._vm for one in holders)

    def _choose(self, role: str, zone: str) -> tuple[str, ...]:
        records = self._table.records(zone)
        eligible = _list_vms(records, MemberState.ALIVE)
        eligible = eligible or _list_vms(records, MemberState.SUSPECT)
        weighted = [(weigh(role, vm), vm) for vm in eligible]
        weighted.sort(reverse=True)
        return tuple(vm for _, vm in weighted)


def weigh(role: str, vm: str) -> int:
    """Return the weight of ``vm`` for ``role``, the same on each daemon."""
    named = f'{role}|{vm}'.encode()
    digest = hashlib.blake2b(named, digest_size=_WEIGHT_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _list_vms(
    records: Collection[Member],
    state: MemberState,
) -> list[str]:
    return [record.vm for record in records if record.state is state]
