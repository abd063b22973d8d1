"""Rendezvous hashing of workspaces to daemons."""

import hashlib
import heapq
from collections.abc import Callable, Iterable

#: Daemons kept for each workspace, best first. Where none of them is
#: reachable, the local daemon is the coordinator.
_MAX_RANKED = 64

_SCORE_BYTES = 8


class RendezvousOrder:
    """Order of the daemons for each workspace, the same at all daemons.

    It is computed again when ``find_epoch`` returns another value than
    before; ``list_names`` returns the names of all known daemons.
    """

    def __init__(
        self,
        *,
        list_names: Callable[[], Iterable[str]],
        find_epoch: Callable[[], object],
    ) -> None:
        """Start without any order computed."""
        self._list_names = list_names
        self._find_epoch = find_epoch
        self._epoch: object = None
        self._ranked: dict[str, tuple[str, ...]] = {}

    def rank(self, workspace: str) -> tuple[str, ...]:
        """Return the first daemons in the order of a workspace."""
        epoch = self._find_epoch()
        if epoch != self._epoch:
            self._epoch = epoch
            self._ranked.clear()
        ranked = self._ranked.get(workspace)
        if ranked is None:
            ranked = rank_names(workspace, self._list_names())
            self._ranked[workspace] = ranked
        return ranked


def rank_names(workspace: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names with the highest scores for a workspace, best first."""
    scored = ((_score(workspace, name), name) for name in names)
    best = heapq.nlargest(_MAX_RANKED, scored)
    return tuple(name for _, name in best)


def _score(workspace: str, name: str) -> bytes:
    hashed = f'{workspace}\n{name}'.encode()
    return hashlib.blake2b(hashed, digest_size=_SCORE_BYTES).digest()
