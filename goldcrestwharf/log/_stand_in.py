"""Serve the stand-in log over HTTP."""

import math
from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from goldcrestwharf.errors import PlatformUnavailableError, WireFormatError
from goldcrestwharf.log._bodies import (
    AppendAnswer,
    AppendBody,
    FailureBody,
    FaultsBody,
)
from goldcrestwharf.log._failures import (
    PlatformBusyError,
    PlatformRequestError,
)
from goldcrestwharf.log._faults import LogFaults
from goldcrestwharf.log._json import dump_body, load_body
from goldcrestwharf.log._memory import MemoryLog
from goldcrestwharf.log._queries import read_bounds
from goldcrestwharf.log._records import decode_records, encode_page

_MS_PER_S = 1000
_BAD_REQUEST = 400
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

_Endpoint = Callable[[Request], Awaitable[Response]]


def make_app(log: MemoryLog) -> Starlette:
    """Return the HTTP application that serves ``log``."""
    endpoints = _Endpoints(log=log)
    records = '/v1/streams/{stream}/records'
    return Starlette(
        routes=[
            Route(records, _answering(endpoints.append), methods=['POST']),
            Route(records, _answering(endpoints.read), methods=['GET']),
            Route('/faults', _answering(endpoints.order), methods=['PUT']),
        ],
    )


class _Endpoints:
    """Answer the requests of clients and of tests."""

    def __init__(self, *, log: MemoryLog) -> None:
        """Serve the streams of ``log``."""
        self._log = log

    async def append(self, req: Request) -> Response:
        """Append the records in the body."""
        body = load_body(await req.body(), AppendBody)
        offset = await self._log.append(
            req.path_params['stream'],
            decode_records(body),
        )
        return _json(AppendAnswer(offset=offset))

    async def read(self, req: Request) -> Response:
        """Return a page of records."""
        bounds = read_bounds(req.query_params)
        page = await self._log.read(
            req.path_params['stream'],
            offset=bounds.offset,
            limit=bounds.limit,
            wait=bounds.wait,
        )
        return _json(encode_page(page))

    async def order(self, req: Request) -> Response:
        """Replace the faults in force by those in the body."""
        body = load_body(await req.body(), FaultsBody)
        self._log.order(
            LogFaults(
                is_out=body.outage,
                delay=body.delay_ms / _MS_PER_S,
                lost_answers=body.lost_answers,
                duplicates=body.duplicates,
                corruptions=body.corruptions,
            ),
        )
        if body.replace:
            self._log.replace()
        return _json(body)


def _answering(endpoint: _Endpoint) -> _Endpoint:
    async def wrapper(req: Request) -> Response:
        try:
            return await endpoint(req)
        except PlatformBusyError as busy:
            return _busy(busy)
        except PlatformUnavailableError as exc:
            return _unavailable(exc)
        except (PlatformRequestError, WireFormatError) as refusal:
            return _fail(_BAD_REQUEST, str(refusal))

    return wrapper


def _busy(busy: PlatformBusyError) -> Response:
    answer = _fail(_TOO_MANY_REQUESTS, busy.reason)
    answer.headers['Retry-After'] = str(math.ceil(busy.retry_after))
    return answer


def _unavailable(exc: PlatformUnavailableError) -> Response:
    if exc.is_effect_unknown:
        return _fail(_GATEWAY_TIMEOUT, exc.reason, is_effect_unknown=True)
    return _fail(_UNAVAILABLE, exc.reason)


def _fail(
    status: int,
    reason: str,
    *,
    is_effect_unknown: bool = False,
) -> Response:
    failure = FailureBody(error=reason, is_effect_unknown=is_effect_unknown)
    return _json(failure, status=status)


def _json(body: object, status: int = 200) -> Response:
    return Response(
        dump_body(body),
        status_code=status,
        media_type='application/json',
    )
