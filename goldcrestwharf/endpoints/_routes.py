"""Offer the announcement interface over HTTP to the targets of this VM."""

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
    """Know the target groups of the configuration in force."""

    def find_group(self, name: str) -> TargetGroup | None:
        """Return the group called ``name``, if there is one."""


def make_routes(
    *,
    local: LocalTargets,
    parser: AnnouncementParser,
    groups: GroupSource,
) -> Sequence[Route]:
    """Return the routes of the announcement interface.

    They belong on a listener that only the VM itself can reach.
    """
    interface = _Interface(local=local, parser=parser, groups=groups)
    return (
        Route(_PATH, interface.announce, methods=['PUT']),
        Route(_PATH, interface.leave, methods=['DELETE']),
        Route(f'{_PATH}/leave', interface.leave, methods=['POST']),
    )


@attrs.frozen(kw_only=True)
class _Interface:
    """Answer the requests of targets."""

    local: LocalTargets
    parser: AnnouncementParser
    groups: GroupSource

    async def announce(self, req: Request) -> JSONResponse:
        """Take a target in or renew its lease."""
        name = req.path_params['name']
        try:
            announcement = self._take(name, await self._read_body(req))
        except AnnouncementError as exc:
            return _refuse(exc)
        answer = {'lease_seconds': self.local.lease}
        if self.groups.find_group(announcement.group) is not None:
            return JSONResponse(answer)
        note = (
            f'target group "{announcement.group}" is not in force yet; the '
            'target is kept and gets requests once the group is published'
        )
        return JSONResponse(
            {**answer, 'note': note},
            status_code=HTTPStatus.ACCEPTED,
        )

    async def leave(self, req: Request) -> JSONResponse:
        """Refuse new work for a target from now on."""
        try:
            self.local.leave(req.path_params['name'])
        except AnnouncementError as exc:
            return _refuse(exc)
        return JSONResponse({'state': 'leaving'})

    def _take(self, name: str, body: bytes) -> Announcement:
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
        bound = self.parser.cfg.max_body_bytes
        body = b''
        async for chunk in req.stream():
            body += chunk
            if len(body) > bound:
                raise AnnouncementError(
                    kind=RefusalKind.TOO_LARGE,
                    reason=f'the body has more than {bound} bytes',
                    remedy='send the announcement alone',
                )
        return body


def _refuse(exc: AnnouncementError) -> JSONResponse:
    headers: dict[str, str] = {}
    if exc.retry_after is not None:
        headers['Retry-After'] = str(math.ceil(exc.retry_after))
    return JSONResponse(
        {'error': exc.kind, 'reason': exc.reason, 'remedy': exc.remedy},
        status_code=_STATUSES.get(exc.kind, HTTPStatus.BAD_REQUEST),
        headers=headers,
    )
