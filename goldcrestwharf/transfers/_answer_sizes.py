"""Sizes of the answers of request classes."""

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.1

#: Request classes with an average of their own; others count as small.
_MAX_REQUEST_CLASSES = 256


class AnswerSizes:
    """Mean size of the answers of each request class, in bytes."""

    def __init__(self) -> None:
        """Start without samples."""
        self._means: dict[str, float] = {}

    def record(self, request_class: str, size: int) -> None:
        """Add the size of an answer."""
        mean = self._means.get(request_class)
        if mean is not None:
            self._means[request_class] = mean + (size - mean) * _SAMPLE_WEIGHT
        elif len(self._means) < _MAX_REQUEST_CLASSES:
            self._means[request_class] = size

    def mean_of(self, request_class: str) -> float:
        """Return the mean size, zero if unknown."""
        return self._means.get(request_class, 0)
