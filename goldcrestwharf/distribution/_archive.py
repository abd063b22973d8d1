"""Keep the last snapshots and give what leads from one to the newest."""

from collections import OrderedDict

from goldcrestwharf.distribution._messages import Full, Step
from goldcrestwharf.objects import diff, encode_delta, encode_objects
from goldcrestwharf.replay import Snapshot, Version

#: Snapshots share their objects, so that each costs little more than its
#: three maps; followers further behind get a full snapshot.
KEPT_SNAPSHOTS = 16


class Archive:
    """Remember snapshots by version and digest, the newest last."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self._kept: OrderedDict[Version, Snapshot] = OrderedDict()
        self._steps: dict[tuple[Version, Version], Step] = {}
        self._full: Full | None = None

    def add(self, snapshot: Snapshot) -> None:
        """Remember ``snapshot``, which is newer than all before it."""
        if snapshot.version in self._kept:
            return
        self._kept[snapshot.version] = snapshot
        self._steps.clear()
        self._full = None
        if len(self._kept) > KEPT_SNAPSHOTS:
            self._kept.popitem(last=False)

    def step(
        self,
        version: Version,
        digest: str,
        newest: Snapshot,
    ) -> Step | None:
        """Return the step from what a follower runs to ``newest``.

        ``None`` means that the follower is too far behind or runs other
        objects under that version, so that it needs a full snapshot.
        """
        base = self._kept.get(version)
        if base is None or base.digest != digest:
            return None
        key = (version, newest.version)
        if key not in self._steps:
            self._steps[key] = _make_step(base, newest)
        return self._steps[key]

    def full(self, newest: Snapshot) -> Full:
        """Return ``newest`` as a message that holds all of it."""
        kept = self._full
        if kept is None or kept.version != str(newest.version):
            kept = _make_full(newest)
            self._full = kept
        return kept


def _make_step(base: Snapshot, newest: Snapshot) -> Step:
    return Step(
        base=str(base.version),
        version=str(newest.version),
        digest=newest.digest,
        delta=encode_delta(diff(base.objects, newest.objects)),
        rules=newest.rules,
    )


def _make_full(newest: Snapshot) -> Full:
    return Full(
        version=str(newest.version),
        digest=newest.digest,
        objects=encode_objects(newest.objects),
        rules=newest.rules,
    )
