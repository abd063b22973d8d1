"""Which daemons the bounds of a run hold for, and when."""

import contextlib
import enum
import time
from collections.abc import Iterable, Iterator

import attrs

#: Seconds without a disruption after which a daemon is in touch.
CONTACT_S = 3.0

#: Seconds after its acknowledgement from which on a version is in force, and
#: those added while the store rejects some daemons.
APPLY_S = 2.0
STRETCH_S = 5.0


class Scope(enum.StrEnum):
    """What a disruption affects.

    ``OWN`` are single daemons, ``STORE`` is the store for all daemons, and
    ``PARTIAL`` the store for some of them.
    """

    OWN = 'own'
    STORE = 'store'
    PARTIAL = 'partial'
    NONE = 'none'


@attrs.define(kw_only=True)
class Disruption:
    """A disruption with its monotonic times."""

    kind: str
    scope: Scope
    daemons: frozenset[str]
    began_at: float
    ended_at: float = float('inf')

    def overlaps(self, start: float, end: float) -> bool:
        return self.began_at <= end and self.ended_at >= start


@attrs.define(kw_only=True, eq=False)
class Contact:
    """All disruptions of a run."""

    disruptions: list[Disruption] = attrs.field(factory=list)

    @contextlib.contextmanager
    def disrupt(
        self, kind: str, scope: Scope, daemons: Iterable[str] = ()
    ) -> Iterator[Disruption]:
        """Record a disruption that lasts as long as the context."""
        disruption = Disruption(
            kind=kind,
            scope=scope,
            daemons=frozenset(daemons),
            began_at=time.monotonic(),
        )
        self.disruptions.append(disruption)
        try:
            yield disruption
        finally:
            disruption.ended_at = time.monotonic()

    def is_in_touch(self, daemon: str, start: float, end: float) -> bool:
        """Return whether bounds hold for a request from start to end."""
        return not any(
            each.scope is Scope.STORE or daemon in each.daemons
            for each in self._list(start, end)
            if each.scope in {Scope.STORE, Scope.OWN}
        )

    def find_bound(self, start: float, end: float) -> float:
        """Return the seconds in which versions have to come into force."""
        is_partial = any(
            each.scope is Scope.PARTIAL for each in self._list(start, end)
        )
        return APPLY_S + STRETCH_S if is_partial else APPLY_S

    def is_calm(self, start: float, end: float) -> bool:
        """Return whether there is no disruption at all."""
        return not self._list(start, end)

    def find_last(self, daemon: str, at: float) -> str:
        """Describe what disrupted a daemon, or the store, last."""
        before = [
            each
            for each in self.disruptions
            if each.began_at <= at
            and (not each.daemons or daemon in each.daemons)
        ]
        last = max(before, key=_find_end, default=None)
        if last is None:
            return 'none'
        began = at - last.began_at
        ended = at - min(last.ended_at, at)
        return f'{last.kind} {began:.1f}..{ended:.1f} s ago'

    def find_last_kind(self, daemon: str, at: float) -> str:
        return self.find_last(daemon, at).partition(' ')[0]

    def _list(self, start: float, end: float) -> list[Disruption]:
        return [
            each
            for each in self.disruptions
            if each.overlaps(start - CONTACT_S, end)
        ]


def _find_end(disruption: Disruption) -> float:
    return disruption.ended_at
