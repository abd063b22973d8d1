"""Moving averages of how long requests occupy the slots of a target."""

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.05

#: Mean service time assumed before the first sample, in seconds.
_INITIAL_MEAN_S = 0.05

#: Request classes with an average of their own; further classes use the
#: average over all requests.
_MAX_REQUEST_CLASSES = 256


class ServiceTimes:
    """Mean service times in seconds, overall and per request class."""

    def __init__(self) -> None:
        """Start from the initial estimate."""
        self.mean = _INITIAL_MEAN_S
        self.is_known = False
        self._by_class: dict[str, float] = {}

    def record(self, request_class: str, service_time: float) -> None:
        """Add a sample, in seconds."""
        if self.is_known:
            self.mean += (service_time - self.mean) * _SAMPLE_WEIGHT
        else:
            self.mean = service_time
            self.is_known = True
        known = self._by_class.get(request_class)
        if known is not None:
            self._by_class[request_class] = (
                known + (service_time - known) * _SAMPLE_WEIGHT
            )
        elif len(self._by_class) < _MAX_REQUEST_CLASSES:
            self._by_class[request_class] = service_time

    def mean_of(self, request_class: str) -> float:
        """Return the mean of a class, or the overall mean if unknown."""
        return self._by_class.get(request_class, self.mean)
