"""Bound the number of connections of callers."""

import resource
import sys

from goldcrestwharf.http1._conn_slot import ConnSlot

#: Descriptors that are kept for files.
_FILE_FDS = 200

#: Fraction of the other descriptors that callers may take. The rest is for
#: targets, other daemons and the platform.
_FRACTION = 0.75

#: Fraction of the connections that are closed at once to make room, so that
#: they aren't compared again for each new one.
_BATCH_FRACTION = 0.0625


def find_max_conns(max_fds: int | None = None) -> int:
    """Return how many connections of callers a process may have.

    ``max_fds`` is the limit on its descriptors, by default that of the
    system.
    """
    if max_fds is None:
        max_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if max_fds == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(int((max_fds - _FILE_FDS) * _FRACTION), 1)


class ConnLimit:
    """Limit on the connections of callers over all listeners."""

    def __init__(self, *, max_conns: int | None = None) -> None:
        """Allow ``max_conns``, by default a part of the system's limit."""
        self._max_conns = find_max_conns() if max_conns is None else max_conns
        self._slots: set[ConnSlot] = set()

    def admit(self, slot: ConnSlot) -> bool:
        """Count a new connection, for which others may be closed.

        Returns ``False`` if there is no room, since all are in use.
        """
        if len(self._slots) >= self._max_conns:
            self._make_room()
        if len(self._slots) >= self._max_conns:
            return False
        self._slots.add(slot)
        return True

    def discard(self, slot: ConnSlot) -> None:
        """Forget a connection that has ended."""
        self._slots.discard(slot)

    def _make_room(self) -> None:
        ranked = [
            (rank, number, slot)
            for number, slot in enumerate(self._slots)
            if (rank := slot.find_rank()) is not None
        ]
        ranked.sort()
        batch = max(int(self._max_conns * _BATCH_FRACTION), 1)
        for _, _, slot in ranked[:batch]:
            self._slots.discard(slot)
            slot.drop()
