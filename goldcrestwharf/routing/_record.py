"""What the local daemon has observed of one target."""

import random

from goldcrestwharf.routing._load import LoadEstimate
from goldcrestwharf.routing._metrics import report_ejection, report_restoration
from goldcrestwharf.routing._model import TargetKey
from goldcrestwharf.routing._outcome_stats import OutcomeStats
from goldcrestwharf.routing._settings import RoutingSettings

_MS_PER_S = 1000
_MIN_WEIGHT = 0.05
_MAX_EJECTION_DOUBLINGS = 16
_MIN_JITTER_FRACTION = 0.75


class TargetRecord:
    """Load, outcomes, ejections and slow start of a target.

    ``ejected_until`` is ``None`` while the target is in service. Otherwise the
    target is ejected until then, and probed by single requests afterwards.
    ``absent_since`` is set while the target isn't announced. Times are in
    seconds.
    """

    def __init__(
        self,
        *,
        key: TargetKey,
        cfg: RoutingSettings,
        now: float,
    ) -> None:
        """Begin the slow start at ``now``."""
        self.load = LoadEstimate(
            half_life=cfg.load_half_life_ms / _MS_PER_S,
        )
        self.outcomes = OutcomeStats(cfg=cfg)
        self.ejected_until: float | None = None
        self.ramp_start = now
        self.absent_since: float | None = None
        self._key = key
        self._cfg = cfg
        self._ejections = 0

    def weight(self, slow_start: float, now: float) -> float:
        """Return the slow start weight, up to 1."""
        if slow_start <= 0:
            return 1
        progress = (now - self.ramp_start) / slow_start
        return min(max(progress, _MIN_WEIGHT), 1)

    def is_probe_due(self, now: float) -> bool:
        """Return whether one request may probe the ejected target."""
        if self.ejected_until is None or self.load.outstanding:
            return False
        return now >= self.ejected_until

    def eject(self, now: float, *, base_ms: int, rng: random.Random) -> None:
        """Eject the target, with exponential backoff."""
        self._reset_old_ejections(now)
        doublings = min(self._ejections, _MAX_EJECTION_DOUBLINGS)
        duration_ms = min(base_ms * 2**doublings, self._cfg.eject_cap_ms)
        jitter = rng.uniform(_MIN_JITTER_FRACTION, 1)
        seconds = jitter * duration_ms / _MS_PER_S
        self.ejected_until = now + seconds
        self._ejections += 1
        self.outcomes.clear()
        report_ejection(self._key, seconds)

    def restore(self, now: float) -> None:
        """Restore the target and begin a slow start."""
        self.ejected_until = None
        self.ramp_start = now
        self.outcomes.clear()
        report_restoration(self._key)

    def _reset_old_ejections(self, now: float) -> None:
        quiet_ms = (now - self.ramp_start) * _MS_PER_S
        if self.ejected_until is None and quiet_ms >= self._cfg.eject_cap_ms:
            self._ejections = 0
