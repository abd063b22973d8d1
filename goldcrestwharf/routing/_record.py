"""Remember what a daemon knows of one target from its own requests."""

import random

from goldcrestwharf.routing._evidence import Evidence
from goldcrestwharf.routing._load import LoadEstimate
from goldcrestwharf.routing._metrics import note_ejection, note_return
from goldcrestwharf.routing._model import TargetKey
from goldcrestwharf.routing._settings import RoutingSettings

_MS_PER_SECOND = 1000
_MIN_WEIGHT = 0.05
_MAX_DOUBLINGS = 16
_MIN_JITTER = 0.75


class TargetRecord:
    """Hold a target's load, evidence, ejections and slow start.

    ``out_until`` is ``None`` while the target is in service; otherwise it
    is ejected until then, and is probed by single requests afterwards.
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
            half_life=cfg.load_half_life_ms / _MS_PER_SECOND,
        )
        self.evidence = Evidence(cfg=cfg)
        self.out_until: float | None = None
        self.ramp_start = now
        self.absent_since: float | None = None
        self._key = key
        self._cfg = cfg
        self._ejections = 0

    def weight(self, slow_start: float, now: float) -> float:
        """Return the share, up to 1, that the slow start allows."""
        if slow_start <= 0:
            return 1
        passed = (now - self.ramp_start) / slow_start
        return min(max(passed, _MIN_WEIGHT), 1)

    def is_probe_due(self, now: float) -> bool:
        """Tell whether one request may test the ejected target."""
        if self.out_until is None or self.load.outstanding:
            return False
        return now >= self.out_until

    def eject(self, now: float, *, base_ms: int, rng: random.Random) -> None:
        """Take the target out of service, longer each time."""
        self._forget_old_ejections(now)
        doublings = min(self._ejections, _MAX_DOUBLINGS)
        longest = min(base_ms * 2**doublings, self._cfg.eject_cap_ms)
        jitter = rng.uniform(_MIN_JITTER, 1)
        seconds = jitter * longest / _MS_PER_SECOND
        self.out_until = now + seconds
        self._ejections += 1
        self.evidence.clear()
        note_ejection(self._key, seconds)

    def restore(self, now: float) -> None:
        """Put the target back into service, by a slow start."""
        self.out_until = None
        self.ramp_start = now
        self.evidence.clear()
        note_return(self._key)

    def _forget_old_ejections(self, now: float) -> None:
        quiet = (now - self.ramp_start) * _MS_PER_SECOND
        if self.out_until is None and quiet >= self._cfg.eject_cap_ms:
            self._ejections = 0
