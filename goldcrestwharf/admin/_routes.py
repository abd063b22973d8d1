"""The HTTP routes of the administration API.

All except the health check require ``Authorization: Bearer`` with the
``admin_token`` of the settings. Bodies are JSON.
"""

import hmac
import secrets
from collections.abc import Awaitable, Callable, Sequence
from datetime import UTC, datetime
from http import HTTPStatus

import attrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from goldcrestwharf.admin._context import AdminContext
from goldcrestwharf.admin._fleet import FleetSurvey
from goldcrestwharf.admin._report import (
    list_quarantined,
    report_daemon,
    report_status,
)
from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.publishing import (
    OutcomeDocument,
    OutcomeKind,
    PublishRequest,
    decode_document,
    encode_document,
    publish_text,
)

_Endpoint = Callable[[Request], Awaitable[Response]]

_PUBLISH_ID_BYTES = 8
_MAX_BODY_BYTES = 16_777_216
_JSON_MEDIA_TYPE = 'application/json'


def make_admin_routes(context: AdminContext) -> Sequence[Route]:
    """Return the routes of the administration API."""
    api = _AdminApi(context=context)
    token_check = _TokenCheck(token=context.cfg.admin_token)
    return [
        Route('/v1/health', api.show_health),
        Route('/v1/status', token_check.protect(api.show_status)),
        Route('/v1/fleet', token_check.protect(api.show_fleet)),
        Route(
            '/v1/publish', token_check.protect(api.publish), methods=['POST']
        ),
        Route('/v1/crashes', token_check.protect(api.show_quarantined)),
        Route(
            '/v1/crashes/{fingerprint}',
            token_check.protect(api.lift_quarantine),
            methods=['DELETE'],
        ),
    ]


@attrs.frozen(kw_only=True)
class _TokenCheck:
    """A check of the administration token."""

    token: str = attrs.field(repr=False)

    def protect(self, endpoint: _Endpoint) -> _Endpoint:
        """Return ``endpoint`` wrapped in a check of the token."""

        async def wrapper(request: Request) -> Response:
            authorization = request.headers.get('authorization', '')
            expected = f'Bearer {self.token}'
            if hmac.compare_digest(authorization.encode(), expected.encode()):
                return await endpoint(request)
            return JSONResponse(
                {
                    'reason': 'the administration token is missing or wrong',
                    'remedy': 'send "Authorization: Bearer" and admin_token',
                },
                status_code=HTTPStatus.UNAUTHORIZED,
                headers={'WWW-Authenticate': 'Bearer'},
            )

        return wrapper


@attrs.frozen(kw_only=True)
class _AdminApi:
    """The endpoints of the administration API."""

    context: AdminContext

    async def show_health(self, _request: Request) -> Response:
        """Return whether the daemon has an active configuration."""
        report = report_daemon(self.context)
        is_ready = bool(report.version)
        return JSONResponse(
            {'ready': is_ready, 'version': report.version},
            status_code=(
                HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            ),
        )

    async def show_status(self, _request: Request) -> Response:
        """Return the daemon's :class:`StatusDocument`."""
        document = report_status(self.context)
        return Response(encode_document(document), media_type=_JSON_MEDIA_TYPE)

    async def show_fleet(self, request: Request) -> Response:
        """Return the daemons that don't run the requested version, and why.

        By default that is the version that this daemon runs.
        """
        current = report_daemon(self.context).version
        version = request.query_params.get('version', current)
        survey = await FleetSurvey(context=self.context).run(version)
        return Response(encode_document(survey), media_type=_JSON_MEDIA_TYPE)

    async def publish(self, request: Request) -> Response:
        """Publish a complete set of objects."""
        try:
            publish_request = decode_document(
                await _read_body(request),
                PublishRequest,
            )
        except WireFormatError as exc:
            return JSONResponse(
                {'reason': exc.reason, 'remedy': exc.remedy},
                status_code=HTTPStatus.BAD_REQUEST,
            )
        if not publish_request.id:
            publish_request = attrs.evolve(
                publish_request, id=secrets.token_hex(_PUBLISH_ID_BYTES)
            )
        outcome = await publish_text(
            self.context.publisher,
            publish_request,
            published_at=datetime.now(UTC).isoformat(timespec='seconds'),
        )
        return Response(
            encode_document(outcome),
            status_code=_status_of(outcome),
            media_type=_JSON_MEDIA_TYPE,
        )

    async def show_quarantined(self, _request: Request) -> Response:
        """Return the crash reports of the requests in quarantine."""
        reports = list_quarantined(self.context.guard)
        return Response(encode_document(reports), media_type=_JSON_MEDIA_TYPE)

    async def lift_quarantine(self, request: Request) -> Response:
        """Lift the quarantine of a request."""
        fingerprint = request.path_params['fingerprint']
        self.context.guard.lift(fingerprint)
        return JSONResponse({'lifted': fingerprint})


async def _read_body(request: Request) -> bytes:
    body = b''
    async for chunk in request.stream():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            raise WireFormatError(
                reason=f'the body has more than {_MAX_BODY_BYTES} bytes',
                remedy='publish a smaller set',
            )
    return body


def _status_of(outcome: OutcomeDocument) -> HTTPStatus:
    match outcome.outcome:
        case OutcomeKind.PUBLISHED | OutcomeKind.UNCHANGED:
            return HTTPStatus.OK
        case OutcomeKind.REFUSED:
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case OutcomeKind.SUPERSEDED:
            return HTTPStatus.CONFLICT
        case OutcomeKind.UNKNOWN:
            return HTTPStatus.GATEWAY_TIMEOUT
        case OutcomeKind.UNAVAILABLE:
            return HTTPStatus.SERVICE_UNAVAILABLE
