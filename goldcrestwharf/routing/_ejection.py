"""Eject the targets that fail, up to a cap, and bring them back."""

import random

from goldcrestwharf.routing._model import OutcomeKind
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._settings import RoutingSettings

_PERCENT = 100


class Ejector:
    """Keep the ejected targets of a group under its cap.

    A target that is being probed counts as ejected until it is back. When
    the cap is reached, further targets stay in service however they fail:
    then the fault probably isn't theirs, and the rest couldn't carry the
    requests.
    """

    def __init__(self, *, cfg: RoutingSettings, rng: random.Random) -> None:
        """Start without targets."""
        self.out: tuple[TargetRecord, ...] = ()
        self._cfg = cfg
        self._rng = rng
        self._records: tuple[TargetRecord, ...] = ()
        self._cap = 0

    @property
    def is_panic(self) -> bool:
        """Tell whether too few targets are usable to heed ejections."""
        total = len(self._records)
        usable = total - len(self.out)
        return usable * _PERCENT < total * self._cfg.panic_percent

    def watch(
        self,
        records: tuple[TargetRecord, ...],
        *,
        max_percent: int,
        now: float,
    ) -> None:
        """Replace the targets; restore the soonest due above the cap."""
        self._records = records
        self._cap = len(records) * max_percent // _PERCENT
        self._find_out()
        excess = max(len(self.out) - self._cap, 0)
        for record in self.out[:excess]:
            record.restore(now)
        self._find_out()

    def note(self, record: TargetRecord, kind: OutcomeKind, now: float) -> None:
        """Take in how a request to a target ended.

        Requests that were sent before an ejection end during it; they
        neither prolong nor end it. In a panic, ejected targets get requests
        too, and their answers bring them back.
        """
        out_until = record.out_until
        if out_until is None:
            self._note_in_service(record, kind, now)
        elif now >= out_until or self.is_panic:
            record.note_probe(kind, now, self._rng)
        if record.out_until != out_until:
            self._find_out()

    def _note_in_service(
        self,
        record: TargetRecord,
        kind: OutcomeKind,
        now: float,
    ) -> None:
        record.evidence.note(kind)
        if record.evidence.is_outlier and len(self.out) < self._cap:
            record.eject(now, self._rng)

    def _find_out(self) -> None:
        out = [one for one in self._records if one.out_until is not None]
        self.out = tuple(sorted(out, key=_due))


def _due(record: TargetRecord) -> float:
    return record.out_until or 0
