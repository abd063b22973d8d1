"""Index the targets of each group."""

from collections import defaultdict
from collections.abc import Sequence
from typing import TypeAlias

from goldcrestwharf.membership._model import (
    Member,
    MemberState,
    Target,
    TargetState,
)

_Targets: TypeAlias = Sequence[tuple[Member, Target]]


class TargetIndex:
    """Index of the targets by group, with a cache of those to send to."""

    def __init__(self) -> None:
        """Start without any target."""
        self._by_group: defaultdict[str, dict[str, Member]] = defaultdict(dict)
        self._found: dict[str, _Targets] = {}

    def add(self, record: Member) -> None:
        """Add the targets of ``record``."""
        for target in record.targets:
            self._by_group[target.group][record.vm] = record
            self._found.pop(target.group, None)

    def discard(self, record: Member) -> None:
        """Drop the targets of ``record``."""
        for target in record.targets:
            self._by_group[target.group].pop(record.vm, None)
            self._found.pop(target.group, None)

    def find(
        self,
        group: str,
        *,
        with_suspects: bool,
    ) -> _Targets:
        """Return the targets of ``group`` that may take requests.

        Those of suspects are left out as long as any other is there,
        unless ``with_suspects`` is true.
        """
        if group not in self._by_group:
            return ()
        if with_suspects:
            return self._collect(group, _USABLE_STATES)
        found = self._found.get(group)
        if found is None:
            found = self._collect(group, _HEALTHY_STATES)
            found = found or self._collect(group, _USABLE_STATES)
            self._found[group] = found
        return found

    def _collect(
        self,
        group: str,
        states: frozenset[MemberState],
    ) -> _Targets:
        return tuple(
            (member, target)
            for member in self._by_group[group].values()
            if member.state in states
            for target in member.targets
            if target.group == group and target.state is TargetState.READY
        )


_HEALTHY_STATES = frozenset((MemberState.ALIVE,))
_USABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
