"""Read the file that an operator writes."""

import attrs
from returns.result import Failure, Result, Success

from goldcrestwharf.documents import (
    Place,
    Problems,
    drop_dependent_problems,
    read_document,
    refusals,
    sort_problems,
)
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._rules import check_objects

_WHOLE = Place(kind='set')


@attrs.frozen(kw_only=True)
class Review:
    """Hold the set that a file describes and all its problems.

    ``objects`` is usable only if no problem is a refusal; it is ``None`` if
    the file can't be parsed at all.
    """

    objects: ObjectSet | None
    problems: Problems

    @property
    def is_refused(self) -> bool:
        """Tell whether a problem stands in the way."""
        return bool(refusals(self.problems))


def review_objects(raw: bytes) -> Review:
    """Read and check a set, collecting all problems in one pass."""
    reading = read_document(raw, ObjectSet, _WHOLE)
    if reading.model is None:
        return Review(objects=None, problems=reading.problems)
    further = check_objects(reading.model)
    own = drop_dependent_problems(further, reading.problems)
    return Review(
        objects=reading.model,
        problems=sort_problems(reading.problems + own),
    )


def parse_objects(raw: bytes) -> Result[ObjectSet, Problems]:
    """Return the set that a file describes, or all its problems.

    A set that was read may still have warnings; :func:`check_objects`
    yields them.
    """
    review = review_objects(raw)
    if review.objects is None or review.is_refused:
        return Failure(review.problems)
    return Success(review.objects)
