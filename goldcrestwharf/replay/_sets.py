"""Build the set that a record describes, or return why it is refused."""

from returns.result import Failure, Result, Success

from goldcrestwharf.documents import refusals
from goldcrestwharf.objects import (
    DeltaError,
    ObjectSet,
    ObjectsFormatError,
    apply_delta,
    check_objects,
    decode_delta,
    decode_objects,
    digest_of,
)
from goldcrestwharf.replay._decisions import Refusal, RefusalReason


def decode_set(packed: bytes) -> Result[ObjectSet, Refusal]:
    """Return the set in ``packed``."""
    try:
        return Success(decode_objects(packed))
    except ObjectsFormatError as exc:
        return _refuse(RefusalReason.MALFORMED, exc.reason)


def apply_packed_delta(
    before: ObjectSet,
    packed_delta: bytes,
) -> Result[ObjectSet, Refusal]:
    """Return the set that results from a packed delta to ``before``."""
    try:
        return Success(apply_delta(before, decode_delta(packed_delta)))
    except ObjectsFormatError as malformed:
        return _refuse(RefusalReason.MALFORMED, malformed.reason)
    except DeltaError as misfit:
        return _refuse(RefusalReason.MISFIT, misfit.reason)


def validate_set(
    objects: ObjectSet,
    *,
    digest: str,
    rules: int,
) -> Result[ObjectSet, Refusal]:
    """Return ``objects`` if they have the digest and obey the rules.

    Raises :class:`UnknownRulesError` if this release lacks the rules.
    """
    found = digest_of(objects)
    if found != digest:
        reason = f'the set has the digest {found}, not {digest}'
        return _refuse(RefusalReason.DIGEST, reason)
    problems = refusals(check_objects(objects, rules))
    if problems:
        lines = (str(problem) for problem in problems)
        return _refuse(RefusalReason.INVALID, *lines)
    return Success(objects)


def _refuse(
    reason: RefusalReason,
    *details: str,
) -> Result[ObjectSet, Refusal]:
    return Failure(Refusal(reason=reason, details=details))
