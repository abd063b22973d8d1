"""Epoch of the platform's store, shared by all daemons.

A store that comes back from an older copy starts a new epoch: acknowledged
records may be gone, and their offsets are given out again.
"""

from collections.abc import Callable

#: Called with whether the store itself stated the epoch to this daemon.
RestoreWatcher = Callable[[bool], None]


class StoreEpochs:
    """Highest epoch that the store or another daemon has stated."""

    def __init__(self) -> None:
        """Start without a known epoch."""
        self.current = 0
        self._watchers: list[RestoreWatcher] = []

    def watch(self, watcher: RestoreWatcher) -> None:
        """Call ``watcher`` each time that the store has been restored."""
        self._watchers.append(watcher)

    def record(self, epoch: int, *, is_direct: bool) -> None:
        """Record an epoch; the first one known is no restore.

        ``is_direct`` is set if the store itself stated it to this daemon.
        """
        known = self.current
        if epoch <= known:
            return
        self.current = epoch
        if known:
            for watcher in self._watchers:
                watcher(is_direct)
