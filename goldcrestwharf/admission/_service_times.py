"""Moving averages of how long requests occupy the slots of a target."""

import attrs

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.05

#: Mean service time assumed before the first sample, in seconds.
_INITIAL_MEAN_S = 0.05

#: Mean deviation assumed at the first sample, as a fraction of it.
_INITIAL_DEVIATION_FRACTION = 0.3

#: Mean deviations by which the likely time exceeds the mean. Between 0.85 and
#: 0.95 of the samples of usual distributions lie below that.
_LIKELY_DEVIATIONS = 1.6

#: Request classes with an average of their own; further classes use the
#: average over all requests.
_MAX_REQUEST_CLASSES = 256


@attrs.define(eq=False)
class _Estimate:
    """Mean of the samples and their mean deviation from it, in seconds."""

    mean: float
    deviation: float

    def record(self, sample: float) -> None:
        error = sample - self.mean
        self.mean += error * _SAMPLE_WEIGHT
        self.deviation += (abs(error) - self.deviation) * _SAMPLE_WEIGHT

    def record_cut(self, least: float) -> None:
        """Count a sample of which only a lower bound is known."""
        error = least - self.mean
        if error > self.deviation:
            self.deviation += (error - self.deviation) * _SAMPLE_WEIGHT

    @property
    def likely(self) -> float:
        return self.mean + self.deviation * _LIKELY_DEVIATIONS


def _make_estimate(mean: float) -> _Estimate:
    return _Estimate(mean, mean * _INITIAL_DEVIATION_FRACTION)


class ServiceTimes:
    """Service times in seconds, overall and per request class."""

    def __init__(self) -> None:
        """Start from the initial estimate."""
        self.is_known = False
        self._overall = _make_estimate(_INITIAL_MEAN_S)
        self._by_class: dict[str, _Estimate] = {}

    @property
    def mean(self) -> float:
        """Return the mean over all requests."""
        return self._overall.mean

    def record(self, request_class: str, service_time: float) -> None:
        """Add a sample, in seconds."""
        if self.is_known:
            self._overall.record(service_time)
        else:
            self._overall = _make_estimate(service_time)
            self.is_known = True
        known = self._by_class.get(request_class)
        if known is not None:
            known.record(service_time)
        elif len(self._by_class) < _MAX_REQUEST_CLASSES:
            self._by_class[request_class] = _make_estimate(service_time)

    def record_cut(self, request_class: str, least: float) -> None:
        """Add a request that was given up after ``least`` seconds.

        Without them the likely time would be that of the quick requests. The
        means count answers only.
        """
        self._find(request_class).record_cut(least)

    def mean_of(self, request_class: str) -> float:
        """Return the mean of a class, or the overall mean if unknown."""
        return self._find(request_class).mean

    def likely_of(self, request_class: str) -> float:
        """Return the time within which nearly all requests of a class end."""
        return self._find(request_class).likely

    def _find(self, request_class: str) -> _Estimate:
        return self._by_class.get(request_class, self._overall)
