"""Keep the records of a group's targets while they come and go."""

from goldcrestwharf.routing._model import TargetKey
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._settings import RoutingSettings

_MS_PER_SECOND = 1000


class Records:
    """Remember absent targets for a while.

    A target that vanishes and returns begins its slow start anew, but its
    ejections aren't forgotten by a short absence.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start without records."""
        self._cfg = cfg
        self._by_key: dict[TargetKey, TargetRecord] = {}

    def get(self, key: TargetKey) -> TargetRecord | None:
        """Return the record of a target that was seen, if there is one."""
        return self._by_key.get(key)

    def find(self, key: TargetKey, now: float) -> TargetRecord:
        """Return the record of a target that is present at ``now``."""
        record = self._by_key.get(key)
        if record is None:
            record = TargetRecord(key=key, cfg=self._cfg, now=now)
            self._by_key[key] = record
        elif record.absent_since is not None:
            record.absent_since = None
            record.ramp_start = now
        return record

    def note_present(self, present: frozenset[TargetKey], now: float) -> None:
        """Mark the absent targets and forget those absent for long."""
        for key in self._by_key.keys() - present:
            self._note_absent(key, now)

    def _note_absent(self, key: TargetKey, now: float) -> None:
        record = self._by_key[key]
        if record.absent_since is None:
            record.absent_since = now
        absence = (now - record.absent_since) * _MS_PER_SECOND
        if absence >= self._cfg.forget_ms:
            self._by_key.pop(key)
