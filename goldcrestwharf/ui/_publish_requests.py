"""Send a publish request to the platform or to a daemon."""

import httpx

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.publishing import (
    OutcomeDocument,
    OutcomeKind,
    decode_document,
    encode_document,
    publish_text,
)
from goldcrestwharf.ui._admin_client import (
    authorization_headers,
    exit_on_wrong_token,
)
from goldcrestwharf.ui._publish_options import PublishOptions
from goldcrestwharf.ui._sources import make_publisher, open_platform

_CONNECT_TIMEOUT_S = 2
_ANSWER_TIMEOUT_S = 30


async def publish_to_platform(
    options: PublishOptions,
    *,
    published_at: str,
) -> OutcomeDocument:
    """Publish to the platform's log and return the outcome."""
    async with open_platform(options.platform) as log:
        return await publish_text(
            make_publisher(log),
            options.make_request(),
            published_at=published_at,
        )


async def publish_to_daemon(options: PublishOptions) -> OutcomeDocument:
    """Publish through a daemon's administration API.

    If no connection can be established, nothing was published. After any
    later failure the outcome is unknown.
    """
    timeout = httpx.Timeout(_ANSWER_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
    body = encode_document(options.make_request())
    async with httpx.AsyncClient(
        base_url=f'http://{options.daemon}',
        headers=authorization_headers(options.token),
        timeout=timeout,
        trust_env=False,
    ) as client:
        try:
            answer = await client.post('/v1/publish', content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as refusal:
            return _make_unavailable(options, str(refusal))
        except httpx.HTTPError as exc:
            return _make_unknown(options, exc)
    exit_on_wrong_token(options.daemon, answer)
    return _decode_answer(options, answer)


def _decode_answer(
    options: PublishOptions,
    answer: httpx.Response,
) -> OutcomeDocument:
    try:
        return decode_document(answer.content, OutcomeDocument)
    except WireFormatError as malformed:
        return _make_unknown(options, malformed)


def _make_unavailable(options: PublishOptions, reason: str) -> OutcomeDocument:
    problem = (
        f'no daemon answers at {options.daemon} ({reason}); nothing was '
        'published: try another daemon, or --platform'
    )
    return OutcomeDocument(
        outcome=OutcomeKind.UNAVAILABLE,
        problems=(problem,),
    )


def _make_unknown(options: PublishOptions, exc: Exception) -> OutcomeDocument:
    problem = (
        f'the daemon gave no usable answer ({exc}); publish the same file '
        f'again with --id {options.publish_id}, which has no second effect'
    )
    return OutcomeDocument(
        outcome=OutcomeKind.UNKNOWN,
        id=options.publish_id,
        problems=(problem,),
    )
