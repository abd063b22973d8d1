"""Records of a group's targets, including recently absent ones."""

from goldcrestwharf.routing._model import TargetKey
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._settings import RoutingSettings

_MS_PER_S = 1000


class TargetRecords:
    """Target records, kept for some time after a target disappears.

    A target that returns begins a new slow start, but a short absence
    doesn't reset its ejections.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start with no records."""
        self._cfg = cfg
        self._by_key: dict[TargetKey, TargetRecord] = {}

    def get(self, key: TargetKey) -> TargetRecord | None:
        """Return the record of a target, ``None`` if there is none."""
        return self._by_key.get(key)

    def find(self, key: TargetKey, now: float) -> TargetRecord:
        """Return or create the record of a target present at ``now``."""
        record = self._by_key.get(key)
        if record is None:
            record = TargetRecord(key=key, cfg=self._cfg, now=now)
            self._by_key[key] = record
        elif record.absent_since is not None:
            record.absent_since = None
            record.ramp_start = now
        return record

    def mark_present(self, present: frozenset[TargetKey], now: float) -> None:
        """Mark all other targets as absent; discard those absent for long."""
        for key in self._by_key.keys() - present:
            self._mark_absent(key, now)

    def _mark_absent(self, key: TargetKey, now: float) -> None:
        record = self._by_key[key]
        if record.absent_since is None:
            record.absent_since = now
        absence_ms = (now - record.absent_since) * _MS_PER_S
        if absence_ms >= self._cfg.forget_ms:
            self._by_key.pop(key)
