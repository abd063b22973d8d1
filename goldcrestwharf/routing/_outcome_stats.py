"""Recent request outcomes of a target, for outlier detection."""

from goldcrestwharf.routing._model import OutcomeKind
from goldcrestwharf.routing._settings import RoutingSettings

_LATEST_WEIGHT = 0.1
_MIN_SAMPLES = 10
_PERCENT = 100

_SUCCESSES = frozenset((OutcomeKind.ANSWERED, OutcomeKind.REFUSED))
_FAILURES = frozenset(
    (OutcomeKind.FAILED, OutcomeKind.TIMED_OUT, OutcomeKind.NOT_REACHED),
)


class OutcomeStats:
    """Successes and failures of the requests to one target.

    A refusal counts as a success: the target's daemon is alive and sheds
    load, which the load estimate takes into account.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start with no outcomes."""
        self._cfg = cfg
        self._samples = 0
        self._failure_rate: float = 0
        self._consecutive_failures = 0
        self.consecutive_successes = 0

    def record(self, kind: OutcomeKind) -> None:
        """Record the outcome of one request."""
        if kind in _SUCCESSES:
            self._add(0)
            self._consecutive_failures = 0
            self.consecutive_successes += 1
        elif kind in _FAILURES:
            self._add(1)
            self._consecutive_failures += 1
            self.consecutive_successes = 0

    @property
    def has_failure(self) -> bool:
        """Return whether the last request failed."""
        return self._consecutive_failures > 0

    def is_outlier(self, max_failures: int) -> bool:
        """Return whether the target should be ejected.

        ``max_failures`` consecutive failures are enough, as is a high rate
        of recent failures.
        """
        if self._consecutive_failures >= max_failures:
            return True
        if self._samples < _MIN_SAMPLES or not self._consecutive_failures:
            return False
        limit = self._cfg.eject_failure_percent / _PERCENT
        return self._failure_rate >= limit

    def clear(self) -> None:
        """Discard all outcomes."""
        self._samples = 0
        self._failure_rate = 0
        self._consecutive_failures = 0
        self.consecutive_successes = 0

    def _add(self, failure: int) -> None:
        self._samples += 1
        weight = max(_LATEST_WEIGHT, 1 / self._samples)
        self._failure_rate += weight * (failure - self._failure_rate)
