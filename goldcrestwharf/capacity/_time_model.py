"""Estimate of how the time of a request depends on the concurrency.

The logarithm of the time is the sum of a term of the request class and one of
the concurrency. Both are learned from the same errors, so a change of the mix
of classes moves neither, and a target that stays at one concurrency keeps
what is known of the others.
"""

import attrs

#: Bounds on the part of one sample, so that the few requests that take many
#: times as long don't decide a mean.
_MAX_ERROR = 2.0

#: Least weight of a sample in the term of a class and of a concurrency. The
#: latter follows changes within about a hundred requests.
_MIN_CLASS_WEIGHT = 0.01
_MIN_LEVEL_WEIGHT = 0.03

#: Samples after which the term of a class is used.
_MIN_CLASS_SAMPLES = 5

#: Samples of a concurrency after which its term is used.
_MIN_LEVEL_SAMPLES = 8

#: Request classes with a term of their own; further ones are not used.
_MAX_REQUEST_CLASSES = 256


@attrs.define(kw_only=True)
class _Term:
    """Mean of a part of the logarithm of the time."""

    mean: float = 0
    count: int = 0

    def move(self, error: float, min_weight: float) -> None:
        self.count += 1
        self.mean += error * max(1 / self.count, min_weight)


class TimeModel:
    """Terms of the request classes and of the concurrency."""

    def __init__(self) -> None:
        """Start without samples."""
        self._classes: dict[str, _Term] = {}
        self._levels: dict[int, _Term] = {}

    def record(
        self, request_class: str, level: int, log_time: float
    ) -> float | None:
        """Add the time of a request at a concurrency.

        Returns by how much its logarithm exceeds the term of the class, or
        ``None`` if the class isn't known well enough.
        """
        term = self._classes.get(request_class)
        if term is None:
            if len(self._classes) < _MAX_REQUEST_CLASSES:
                self._add_class(request_class, level, log_time)
            return None
        excess = _clip(log_time - term.mean)
        at_level = self._levels.setdefault(level, _Term())
        is_known = term.count >= _MIN_CLASS_SAMPLES
        error = _clip(excess - at_level.mean)
        term.move(error, _MIN_CLASS_WEIGHT)
        if not is_known:
            return None
        at_level.move(error, _MIN_LEVEL_WEIGHT)
        return excess

    def find_slowdown(self, level: int) -> float | None:
        """Return the term of a concurrency, smoothed with its neighbours'.

        ``None`` means that there are too few samples.
        """
        count: float = 0
        total: float = 0
        for near in range(level - 1, level + 2):
            term = self._levels.get(near)
            if term is not None:
                weight = min(term.count, 1 / _MIN_LEVEL_WEIGHT)
                weight = weight if near == level else weight / 2
                count += weight
                total += weight * term.mean
        return total / count if count >= _MIN_LEVEL_SAMPLES else None

    def _add_class(
        self, request_class: str, level: int, log_time: float
    ) -> None:
        at_level = self._levels.get(level)
        known = 0 if at_level is None else at_level.mean
        self._classes[request_class] = _Term(mean=log_time - known, count=1)


def _clip(error: float) -> float:
    return min(max(error, -_MAX_ERROR), _MAX_ERROR)
