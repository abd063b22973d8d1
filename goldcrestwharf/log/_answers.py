"""Map the status of the log's answers to errors."""

import httpx

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.log._bodies import FailureBody
from goldcrestwharf.log._failures import (
    PlatformRequestError,
    effect_unknown_error,
    no_effect_error,
)
from goldcrestwharf.log._json import load_body

#: Longest wait that the log may ask for, in seconds.
_MAX_WAIT_S = 60.0


def check_answer(answer: httpx.Response) -> None:
    """Raise the typed error for an answer that is not a success.

    A call counts as without effect only if the log itself says so: an
    intermediary may answer 502 to 504 for a call that succeeded.
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
        raise effect_unknown_error(failure.error)
    raise no_effect_error(failure.error)


def retry_after(answer: httpx.Response) -> float:
    """Return the ``Retry-After`` of an answer in seconds, zero without one.

    It is bounded: an infinite one would never be retried.
    """
    header = answer.headers.get('retry-after', '')
    return min(float(header), _MAX_WAIT_S) if header.isdecimal() else 0


def _load_failure(answer: httpx.Response) -> FailureBody:
    try:
        return load_body(answer.content, FailureBody)
    except WireFormatError:
        return FailureBody(
            error=f'the platform log answered with {answer.status_code}',
            is_effect_unknown=True,
        )
