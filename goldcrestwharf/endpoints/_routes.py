"""HTTP interface through which targets on the local VM register."""

import math
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol

import attrs
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from goldcrestwharf.endpoints._announcement import (
    Announcement,
    AnnouncementParser,
)
from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._local import LocalTargets
from goldcrestwharf.objects import TargetGroup

_PATH = '/v1/targets/{name}'

_STATUSES: Mapping[RefusalKind, HTTPStatus] = MappingProxyType(
    {
        RefusalKind.FOREIGN_ADDRESS: HTTPStatus.FORBIDDEN,
        RefusalKind.FOREIGN_TEAM: HTTPStatus.FORBIDDEN,
        RefusalKind.NAME_TAKEN: HTTPStatus.CONFLICT,
        RefusalKind.LEAVING: HTTPStatus.CONFLICT,
        RefusalKind.UNKNOWN_TARGET: HTTPStatus.NOT_FOUND,
        RefusalKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalKind.TOO_MANY: HTTPStatus.TOO_MANY_REQUESTS,
    }
)


class GroupSource(Protocol):
    """Source of the target groups of the active configuration."""

    def find_group(self, name: str) -> TargetGroup | None:
        """Return the group ``name``, ``None`` if there is none."""


def make_routes(
    *,
    local: LocalTargets,
    parser: AnnouncementParser,
    groups: GroupSource,
) -> Sequence[Route]:
    """Return the routes of the registration interface.

    They must be served on a listener that only the local VM can reach.
    """
    handlers = _Handlers(local=local, parser=parser, groups=groups)
    return (
        Route(_PATH, handlers.announce, methods=['PUT']),
        Route(_PATH, handlers.leave, methods=['DELETE']),
        Route(f'{_PATH}/leave', handlers.leave, methods=['POST']),
    )


@attrs.frozen(kw_only=True)
class _Handlers:
    """Request handlers of the registration interface."""

    local: LocalTargets
    parser: AnnouncementParser
    groups: GroupSource

    async def announce(self, req: Request) -> JSONResponse:
        """Register a target or renew its lease."""
        name = req.path_params['name']
        try:
            announcement = self._register(name, await self._read_body(req))
        except AnnouncementError as exc:
            return _make_error_response(exc)
        answer = {'lease_seconds': self.local.lease}
        if self.groups.find_group(announcement.group) is not None:
            return JSONResponse(answer)
        note = (
            f'target group "{announcement.group}" is not in force yet; the '
            'target is registered and receives requests once it is published'
        )
        return JSONResponse(
            {**answer, 'note': note},
            status_code=HTTPStatus.ACCEPTED,
        )

    async def leave(self, req: Request) -> JSONResponse:
        """Stop new requests to a target."""
        try:
            self.local.leave(req.path_params['name'])
        except AnnouncementError as exc:
            return _make_error_response(exc)
        return JSONResponse({'state': 'leaving'})

    def _register(self, name: str, body: bytes) -> Announcement:
        announcement = self.parser.parse(name, body)
        group = self.groups.find_group(announcement.group)
        if group is not None and group.team not in {'', announcement.team}:
            raise AnnouncementError(
                kind=RefusalKind.FOREIGN_TEAM,
                reason=(
                    f'target group "{announcement.group}" belongs to team '
                    f'"{group.team}"'
                ),
                remedy='announce the "team" that owns the group',
            )
        self.local.announce(announcement)
        return announcement

    async def _read_body(self, req: Request) -> bytes:
        limit = self.parser.cfg.max_body_bytes
        body = b''
        async for chunk in req.stream():
            body += chunk
            if len(body) > limit:
                raise AnnouncementError(
                    kind=RefusalKind.TOO_LARGE,
                    reason=f'the body is larger than {limit} bytes',
                    remedy='send only the announcement',
                )
        return body


def _make_error_response(exc: AnnouncementError) -> JSONResponse:
    headers: dict[str, str] = {}
    if exc.retry_after is not None:
        headers['Retry-After'] = str(math.ceil(exc.retry_after))
    return JSONResponse(
        {'error': exc.kind, 'reason': exc.reason, 'remedy': exc.remedy},
        status_code=_STATUSES.get(exc.kind, HTTPStatus.BAD_REQUEST),
        headers=headers,
    )
