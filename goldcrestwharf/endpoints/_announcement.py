"""Announcements of targets and their validation."""

import json
from collections.abc import Mapping

import attrs
import cattrs

from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._fields import (
    NAME_PATTERN,
    bad_field,
    check_fields,
    check_port,
    make_fields,
)
from goldcrestwharf.endpoints._settings import EndpointSettings

_LOOPBACK = '127.0.0.1'


@attrs.frozen(kw_only=True)
class Announcement:
    """A valid announcement; ``address`` is ``host:port``.

    ``instance`` distinguishes successive processes of a target. ``team`` is
    the owner of the target, empty if not given.
    """

    name: str
    group: str
    address: str
    slots: int
    cold_start_ms: int = 0
    team: str = ''
    instance: str = ''


@attrs.frozen(kw_only=True)
class AnnouncementParser:
    """Parser of announcements from the VM with the IP address ``host``."""

    host: str
    cfg: EndpointSettings

    def parse(self, name: str, body: bytes) -> Announcement:
        """Parse the announcement of the target ``name``.

        Raises :class:`AnnouncementError` if it is invalid.
        """
        check_name(name)
        raw = _load(body)
        check_fields(raw, make_fields(self.cfg))
        address = self._read_address(raw)
        return cattrs.structure(
            {**raw, 'name': name, 'address': address},
            Announcement,
        )

    def _read_address(self, raw: Mapping[str, object]) -> str:
        address = raw.get('address')
        port = raw.get('port')
        if (port is None) == (address is None):
            raise bad_field(
                'exactly one of "port" and "address" is required',
                'give the port that the target listens on',
            )
        if address is None:
            return f'{self.host}:{port}'
        return self._check_address(str(address))

    def _check_address(self, address: str) -> str:
        host, _, port = address.rpartition(':')
        if host not in {self.host, _LOOPBACK}:
            raise AnnouncementError(
                kind=RefusalKind.FOREIGN_ADDRESS,
                reason=f'address "{address}" is not on this VM',
                remedy=f'announce it on its own VM or use {self.host}',
            )
        problem = check_port(port)
        if problem:
            raise bad_field(
                f'the port of address "{address}" {problem}',
                'give host:port',
            )
        return address


def check_name(name: str) -> None:
    """Raise :class:`AnnouncementError` unless ``name`` is valid."""
    if NAME_PATTERN.fullmatch(name) is None:
        raise AnnouncementError(
            kind=RefusalKind.BAD_NAME,
            reason=f'the name "{name}" is invalid',
            remedy=f'use a name that matches {NAME_PATTERN.pattern}',
        )


def _load(body: bytes) -> dict[str, object]:
    try:
        raw = json.loads(body)
    except ValueError as exc:
        raise _bad_json(str(exc)) from exc
    except RecursionError as exc:
        raise _bad_json('too deeply nested') from exc
    if not isinstance(raw, dict):
        raise _bad_json('not a JSON object')
    return raw


def _bad_json(reason: str) -> AnnouncementError:
    return AnnouncementError(
        kind=RefusalKind.BAD_JSON,
        reason=f'the body is not an announcement: {reason}',
        remedy='send a JSON object',
    )
