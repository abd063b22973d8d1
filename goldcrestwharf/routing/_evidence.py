"""Judge a target by how its requests ended."""

from goldcrestwharf.routing._model import OutcomeKind
from goldcrestwharf.routing._settings import RoutingSettings

_WEIGHT_OF_LATEST = 0.1
_MIN_SAMPLES = 10
_PERCENT = 100

_GOOD = frozenset((OutcomeKind.ANSWERED, OutcomeKind.REFUSED))
_BAD = frozenset(
    (OutcomeKind.FAILED, OutcomeKind.TIMED_OUT, OutcomeKind.NOT_REACHED),
)


class Evidence:
    """Count good and bad ends of the requests to one target.

    A refusal is good evidence: the target's daemon lives and sheds load,
    which is the load estimate's matter.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start without evidence."""
        self._cfg = cfg
        self._samples = 0
        self._failure_rate: float = 0
        self._failures_in_row = 0
        self.successes_in_row = 0

    def note(self, kind: OutcomeKind) -> None:
        """Take in how one request ended."""
        if kind in _GOOD:
            self._add(0)
            self._failures_in_row = 0
            self.successes_in_row += 1
        elif kind in _BAD:
            self._add(1)
            self._failures_in_row += 1
            self.successes_in_row = 0

    @property
    def has_failure(self) -> bool:
        """Tell whether the last request failed."""
        return self._failures_in_row > 0

    def is_outlier(self, max_failures: int) -> bool:
        """Tell whether the evidence asks for an ejection.

        ``max_failures`` in a row are enough, as is a high share of the
        recent ones.
        """
        if self._failures_in_row >= max_failures:
            return True
        if self._samples < _MIN_SAMPLES or not self._failures_in_row:
            return False
        limit = self._cfg.eject_failure_percent / _PERCENT
        return self._failure_rate >= limit

    def clear(self) -> None:
        """Forget all evidence."""
        self._samples = 0
        self._failure_rate = 0
        self._failures_in_row = 0
        self.successes_in_row = 0

    def _add(self, failure: int) -> None:
        self._samples += 1
        weight = max(_WEIGHT_OF_LATEST, 1 / self._samples)
        self._failure_rate += weight * (failure - self._failure_rate)
