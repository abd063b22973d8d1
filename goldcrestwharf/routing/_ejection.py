"""Eject the targets that fail, up to a cap, and bring them back."""

import random

from goldcrestwharf.objects import TargetGroup
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
        self._group = TargetGroup()
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
        group: TargetGroup,
        now: float,
    ) -> None:
        """Replace the targets; restore the soonest due above the cap."""
        self._records = records
        self._group = group
        self._cap = len(records) * group.max_ejected_percent // _PERCENT
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
        is_out = out_until is not None and now < out_until
        if is_out and not self.is_panic:
            return
        record.evidence.note(kind)
        if self._may_return(record):
            record.restore(now)
        elif self._must_go(record):
            record.eject(now, base_ms=self._group.eject_ms, rng=self._rng)
        if record.out_until != out_until:
            self._find_out()

    def _may_return(self, record: TargetRecord) -> bool:
        successes = record.evidence.successes_in_row
        is_proved = successes >= self._cfg.probe_successes
        return record.out_until is not None and is_proved

    def _must_go(self, record: TargetRecord) -> bool:
        if record.out_until is not None:
            return record.evidence.has_failure
        is_outlier = record.evidence.is_outlier(self._group.eject_after)
        return is_outlier and len(self.out) < self._cap

    def _find_out(self) -> None:
        out = [one for one in self._records if one.out_until is not None]
        self.out = tuple(sorted(out, key=_due))


def _due(record: TargetRecord) -> float:
    return record.out_until or 0
