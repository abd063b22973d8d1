"""Keep the compiled routes of the snapshot in force."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay import Snapshot, SnapshotHolder
from goldcrestwharf.routing import RouteTable, compile_routes


@attrs.frozen(kw_only=True)
class Compiled:
    """Hold a snapshot's objects and their routes; it never changes."""

    objects: ObjectSet
    table: RouteTable


class Routes:
    """Compile the routes once for each snapshot."""

    def __init__(self, *, holder: SnapshotHolder) -> None:
        """Follow the snapshot in ``holder``."""
        self._holder = holder
        self._snapshot: Snapshot | None = None
        self._compiled: Compiled | None = None

    def current(self) -> Compiled | None:
        """Return the routes in force, ``None`` without a configuration."""
        snapshot = self._holder.snapshot
        if snapshot is not self._snapshot and snapshot is not None:
            self._compiled = Compiled(
                objects=snapshot.objects,
                table=compile_routes(snapshot.objects),
            )
            self._snapshot = snapshot
        return self._compiled
