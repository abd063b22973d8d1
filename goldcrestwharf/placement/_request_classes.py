"""Statistics of request classes, used to predict time and size."""

import attrs

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.05

#: Bounds of a sample of the relative service time, to limit outliers.
_MIN_RELATIVE_TIME = 0.05
_MAX_RELATIVE_TIME = 8.0

#: Request classes with statistics of their own; further classes get the
#: default traits.
_MAX_REQUEST_CLASSES = 1024


@attrs.define(kw_only=True, eq=False)
class RequestClassTraits:
    """Moving averages of one request class.

    ``size`` is the sum of the bytes of both bodies. ``relative_time`` is the
    service time relative to the mean of the target.
    """

    size: float = 0
    relative_time: float = 1


class RequestClassStats:
    """Traits of all request classes by name."""

    def __init__(self) -> None:
        """Start without statistics."""
        self._traits: dict[str, RequestClassTraits] = {}

    def find(self, request_class: str) -> RequestClassTraits:
        """Return the traits of a class, the default ones for a new class."""
        found = self._traits.get(request_class)
        if found is None:
            found = RequestClassTraits()
            if len(self._traits) < _MAX_REQUEST_CLASSES:
                self._traits[request_class] = found
        return found

    def record(
        self,
        request_class: str,
        *,
        size: int,
        relative_time: float,
    ) -> None:
        """Add the sample of an answered request."""
        traits = self.find(request_class)
        bounded = min(
            max(relative_time, _MIN_RELATIVE_TIME),
            _MAX_RELATIVE_TIME,
        )
        traits.size += (size - traits.size) * _SAMPLE_WEIGHT
        traits.relative_time += (
            bounded - traits.relative_time
        ) * _SAMPLE_WEIGHT
