"""HTTP application of the in-memory log."""

import math
from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from goldcrestwharf.errors import PlatformUnavailableError, WireFormatError
from goldcrestwharf.log._bodies import (
    LOG_ID_HEADER,
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
from goldcrestwharf.log._queries import parse_read_query
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
            Route(records, _handle_errors(endpoints.append), methods=['POST']),
            Route(records, _handle_errors(endpoints.read), methods=['GET']),
            Route(
                '/faults',
                _handle_errors(endpoints.inject_faults),
                methods=['PUT'],
            ),
        ],
    )


class _Endpoints:
    """Request handlers of the log and of its fault injection."""

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
        return _json_response(AppendAnswer(offset=offset))

    async def read(self, req: Request) -> Response:
        """Return a page of records."""
        read_query = parse_read_query(req.query_params)
        page = await self._log.read(
            req.path_params['stream'],
            offset=read_query.offset,
            limit=read_query.limit,
            wait=read_query.wait,
        )
        answer = _json_response(encode_page(page))
        answer.headers[LOG_ID_HEADER] = page.log_id
        return answer

    async def inject_faults(self, req: Request) -> Response:
        """Replace the injected faults by those in the body."""
        body = load_body(await req.body(), FaultsBody)
        self._log.inject_faults(
            LogFaults(
                is_unavailable=body.outage,
                delay=body.delay_ms / _MS_PER_S,
                lost_answers=body.lost_answers,
                duplicates=body.duplicates,
                corruptions=body.corruptions,
            ),
        )
        if body.replace:
            self._log.replace()
        return _json_response(body)


def _handle_errors(endpoint: _Endpoint) -> _Endpoint:
    async def wrapper(req: Request) -> Response:
        try:
            return await endpoint(req)
        except PlatformBusyError as busy:
            return _busy_response(busy)
        except PlatformUnavailableError as exc:
            return _unavailable_response(exc)
        except (PlatformRequestError, WireFormatError) as exc:
            return _failure_response(_BAD_REQUEST, str(exc))

    return wrapper


def _busy_response(busy: PlatformBusyError) -> Response:
    answer = _failure_response(_TOO_MANY_REQUESTS, busy.reason)
    answer.headers['Retry-After'] = str(math.ceil(busy.retry_after))
    return answer


def _unavailable_response(exc: PlatformUnavailableError) -> Response:
    if exc.is_effect_unknown:
        return _failure_response(
            _GATEWAY_TIMEOUT, exc.reason, is_effect_unknown=True
        )
    return _failure_response(_UNAVAILABLE, exc.reason)


def _failure_response(
    status: int,
    reason: str,
    *,
    is_effect_unknown: bool = False,
) -> Response:
    failure = FailureBody(error=reason, is_effect_unknown=is_effect_unknown)
    return _json_response(failure, status=status)


def _json_response(body: object, status: int = 200) -> Response:
    return Response(
        dump_body(body),
        status_code=status,
        media_type='application/json',
    )
