"""Ejection and restoration of failing targets."""

import random

from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing._model import OutcomeKind
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._settings import RoutingSettings

_PERCENT = 100


class Ejector:
    """Ejector of a group's failing targets, limited by the group's cap.

    A target that is being probed counts as ejected until it is restored.
    Once the cap is reached, further targets stay in service however often
    they fail: the fault probably isn't theirs, and the remaining targets
    couldn't carry the load.
    """

    def __init__(self, *, cfg: RoutingSettings, rng: random.Random) -> None:
        """Start with no targets."""
        self.ejected: tuple[TargetRecord, ...] = ()
        self._cfg = cfg
        self._rng = rng
        self._records: tuple[TargetRecord, ...] = ()
        self._group = TargetGroup()
        self._cap = 0

    @property
    def is_panic(self) -> bool:
        """Return whether ejections are ignored for lack of usable targets."""
        total = len(self._records)
        usable = total - len(self.ejected)
        return usable * _PERCENT < total * self._cfg.panic_percent

    def replace_targets(
        self,
        records: tuple[TargetRecord, ...],
        *,
        group: TargetGroup,
        now: float,
    ) -> None:
        """Replace the targets; above the cap, restore those due first."""
        self._records = records
        self._group = group
        self._cap = len(records) * group.max_ejected_percent // _PERCENT
        self._update_ejected()
        excess = max(len(self.ejected) - self._cap, 0)
        for record in self.ejected[:excess]:
            record.restore(now)
        self._update_ejected()

    def record_outcome(
        self, record: TargetRecord, kind: OutcomeKind, now: float
    ) -> None:
        """Record the outcome of a request to a target.

        Requests sent before an ejection may end during it; they neither
        extend nor end the ejection. In panic mode ejected targets receive
        requests too, and their answers restore them.
        """
        ejected_until = record.ejected_until
        is_ejected = ejected_until is not None and now < ejected_until
        if is_ejected and not self.is_panic:
            return
        record.outcomes.record(kind)
        if self._should_restore(record):
            record.restore(now)
        elif self._should_eject(record):
            record.eject(now, base_ms=self._group.eject_ms, rng=self._rng)
        if record.ejected_until != ejected_until:
            self._update_ejected()

    def _should_restore(self, record: TargetRecord) -> bool:
        successes = record.outcomes.consecutive_successes
        has_recovered = successes >= self._cfg.probe_successes
        return record.ejected_until is not None and has_recovered

    def _should_eject(self, record: TargetRecord) -> bool:
        if record.ejected_until is not None:
            return record.outcomes.has_failure
        is_outlier = record.outcomes.is_outlier(self._group.eject_after)
        return is_outlier and len(self.ejected) < self._cap

    def _update_ejected(self) -> None:
        ejected = [
            one for one in self._records if one.ejected_until is not None
        ]
        self.ejected = tuple(sorted(ejected, key=_due))


def _due(record: TargetRecord) -> float:
    return record.ejected_until or 0
