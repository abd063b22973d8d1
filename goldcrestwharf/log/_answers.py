"""Judge the status of the log's answers."""

import httpx

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.log._bodies import FailureBody
from goldcrestwharf.log._failures import (
    PlatformRequestError,
    maybe_done,
    not_done,
)
from goldcrestwharf.log._json import load_body


def check_answer(answer: httpx.Response) -> None:
    """Raise the typed error for an answer that is not a success.

    An effect is ruled out only if the log says so itself: an intermediary
    may answer 502 to 504 for a call that went through.
    """
    if answer.status_code == httpx.codes.OK:
        return
    failure = _load_failure(answer)
    if answer.is_client_error:
        raise PlatformRequestError(
            reason=f'the platform log refused the request: {failure.error}',
            remedy='check the URL of the log and the size of the records',
        )
    if failure.is_effect_unknown:
        raise maybe_done(failure.error)
    raise not_done(failure.error)


def retry_after(answer: httpx.Response) -> float:
    """Return the seconds that the log asks to wait, zero if it names none."""
    written = answer.headers.get('retry-after', '')
    return float(written) if written.isdecimal() else 0


def _load_failure(answer: httpx.Response) -> FailureBody:
    try:
        return load_body(answer.content, FailureBody)
    except WireFormatError:
        return FailureBody(
            error=f'the platform log answered with {answer.status_code}',
            is_effect_unknown=True,
        )
