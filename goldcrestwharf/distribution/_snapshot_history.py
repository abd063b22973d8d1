"""Store the last snapshots and build steps from them to the newest."""

from collections import OrderedDict

from goldcrestwharf.distribution._messages import Full, Step
from goldcrestwharf.objects import diff, encode_delta, encode_objects
from goldcrestwharf.replay import Snapshot, Version

#: Snapshots share their objects, so that each costs little more memory than
#: its three maps; followers further behind get a full snapshot.
MAX_SNAPSHOTS = 16


class SnapshotHistory:
    """The last snapshots by version, and the encoded answers made of them."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self._snapshots: OrderedDict[Version, Snapshot] = OrderedDict()
        self._steps: dict[tuple[Version, Version], Step] = {}
        self._full: Full | None = None

    def add(self, snapshot: Snapshot) -> None:
        """Store ``snapshot``, which is newer than all before it."""
        if snapshot.version in self._snapshots:
            return
        self._snapshots[snapshot.version] = snapshot
        self._steps.clear()
        self._full = None
        if len(self._snapshots) > MAX_SNAPSHOTS:
            self._snapshots.popitem(last=False)

    def step(
        self,
        version: Version,
        digest: str,
        newest: Snapshot,
    ) -> Step | None:
        """Return the step from a follower's ``version`` to ``newest``.

        ``None`` if the follower is too far behind or has different objects
        under that version, so that it needs a full snapshot.
        """
        base = self._snapshots.get(version)
        if base is None or base.digest != digest:
            return None
        key = (version, newest.version)
        if key not in self._steps:
            self._steps[key] = _make_step(base, newest)
        return self._steps[key]

    def full(self, newest: Snapshot) -> Full:
        """Return ``newest`` as a full snapshot message."""
        cached = self._full
        if cached is None or cached.version != str(newest.version):
            cached = _make_full(newest)
            self._full = cached
        return cached


def _make_step(base: Snapshot, newest: Snapshot) -> Step:
    return Step(
        base=str(base.version),
        version=str(newest.version),
        digest=newest.digest,
        delta=encode_delta(diff(base.objects, newest.objects)),
        rules=newest.rules,
        log_id=newest.log_id,
    )


def _make_full(newest: Snapshot) -> Full:
    return Full(
        version=str(newest.version),
        digest=newest.digest,
        objects=encode_objects(newest.objects),
        rules=newest.rules,
        log_id=newest.log_id,
    )
