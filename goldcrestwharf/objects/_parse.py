"""Parse and validate the file that an operator writes."""

import attrs
from returns.result import Failure, Result, Success

from goldcrestwharf.documents import (
    Place,
    Problems,
    drop_consequences,
    read_document,
    refusals,
    sort_problems,
)
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._rules import check_objects

_WHOLE_SET = Place(kind='set')


@attrs.frozen(kw_only=True)
class Review:
    """The set that a file describes and all its problems.

    ``objects`` is valid only if no problem is a refusal; it is ``None`` if
    the file can't be parsed at all.
    """

    objects: ObjectSet | None
    problems: Problems

    @property
    def is_refused(self) -> bool:
        """Return whether any problem is a refusal."""
        return bool(refusals(self.problems))


def review_objects(raw: bytes) -> Review:
    """Read and check a set, collecting all problems in one pass."""
    document = read_document(raw, ObjectSet, _WHOLE_SET)
    if document.model is None:
        return Review(objects=None, problems=document.problems)
    further = check_objects(document.model)
    set_problems = drop_consequences(further, document.problems)
    return Review(
        objects=document.model,
        problems=sort_problems(document.problems + set_problems),
    )


def parse_objects(raw: bytes) -> Result[ObjectSet, Problems]:
    """Return the set that a file describes, or all its problems.

    A valid set may still have warnings; :func:`check_objects` returns them.
    """
    review = review_objects(raw)
    if review.objects is None or review.is_refused:
        return Failure(review.problems)
    return Success(review.objects)
