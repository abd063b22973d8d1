"""Cache the compiled routes of the current snapshot."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay import Snapshot, SnapshotHolder
from goldcrestwharf.routing import RouteTable, compile_routes


@attrs.frozen(kw_only=True)
class CompiledRoutes:
    """The objects of a snapshot with their compiled routes."""

    objects: ObjectSet
    table: RouteTable


class RouteCache:
    """The routes of the current snapshot, compiled once per snapshot."""

    def __init__(self, *, holder: SnapshotHolder) -> None:
        """Follow the snapshot in ``holder``."""
        self._holder = holder
        self._snapshot: Snapshot | None = None
        self._compiled: CompiledRoutes | None = None

    def current(self) -> CompiledRoutes | None:
        """Return the current routes, ``None`` without a configuration."""
        snapshot = self._holder.snapshot
        if snapshot is not self._snapshot and snapshot is not None:
            self._compiled = CompiledRoutes(
                objects=snapshot.objects,
                table=compile_routes(snapshot.objects),
            )
            self._snapshot = snapshot
        return self._compiled
