"""Publish the text of a set file."""

from functools import partial

from returns.result import Failure, Result, Success

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.objects import ObjectSet, parse_objects
from goldcrestwharf.publishing._describe import describe_outcome
from goldcrestwharf.publishing._documents import (
    OutcomeDocument,
    OutcomeKind,
    PublishRequest,
)
from goldcrestwharf.publishing._outcomes import Outcome, Refused
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.publishing._publisher import Publisher
from goldcrestwharf.replay import Origin, Version


async def publish_text(
    publisher: Publisher,
    request: PublishRequest,
    *,
    published_at: str,
) -> OutcomeDocument:
    """Publish the set file of ``request`` and return the outcome.

    ``request.id`` must be set; ``published_at`` is ISO 8601 in UTC.
    """
    try:
        return describe_outcome(
            await _publish(publisher, request, published_at),
        )
    except PlatformUnavailableError as exc:
        return OutcomeDocument(
            outcome=OutcomeKind.UNAVAILABLE,
            problems=(f'nothing was published: {exc}',),
        )


async def _publish(
    publisher: Publisher,
    request: PublishRequest,
    published_at: str,
) -> Outcome:
    origin = Origin(
        author=request.author,
        note=request.note,
        published_at=published_at,
    )
    proposal = _parse_text(request).bind(
        partial(_make_proposal, request, origin),
    )
    if not isinstance(proposal, Success):
        return proposal.failure()
    if request.new_epoch:
        return await publisher.start_epoch(
            proposal.unwrap(),
            request.new_epoch,
        )
    return await publisher.publish(proposal.unwrap())


def _make_proposal(
    request: PublishRequest,
    origin: Origin,
    objects: ObjectSet,
) -> Result[Proposal, Refused]:
    return _parse_base(request.base).map(
        lambda base: Proposal(
            id=request.id,
            objects=objects,
            base=base,
            allow_large_removal=request.allow_large_removal,
            origin=origin,
        ),
    )


def _parse_text(request: PublishRequest) -> Result[ObjectSet, Refused]:
    parsed = parse_objects(request.text.encode())
    return parsed.alt(
        lambda problems: Refused(
            problems=tuple(str(problem) for problem in problems),
        ),
    )


def _parse_base(text: str) -> Result[Version | None, Refused]:
    if not text:
        return Success(None)
    try:
        return Success(Version.parse(text))
    except ValueError:
        problem = f'base "{text}" is not a version; write it as 1.412'
        return Failure(Refused(problems=(problem,)))
