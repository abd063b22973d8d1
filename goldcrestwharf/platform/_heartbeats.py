"""Receive the heartbeats of the local target."""

import http
from collections.abc import Mapping
from typing import Any

from goldcrestwharf.discovery import (
    Heartbeat,
    HeartbeatResult,
    Instance,
    InstanceState,
    LeaveNotice,
)
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._fields import (
    expect_table,
    get_field,
)
from goldcrestwharf.platform._leaving import LeavingWriter
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_duration,
    parse_json,
    show,
)
from goldcrestwharf.proxy import ProxyDaemon

_log = EventLog(__name__)

_PREFIX = '/-/instances/'
_HEARTBEAT = '/heartbeat'
_LEAVE = '/deregister'

_ACCEPTED = Answer(
    status=http.HTTPStatus.OK,
    head=b'Content-Type: application/json\r\n',
    body=b'{}',
)
#: Latest start, in the year 2286. A later one would make all starts that
#: follow look old.
_MAX_START_MS = 10_000_000_000_000

#: Most requests that a target may say to run at once.
_MAX_SLOTS = 1_000_000

_BAD_REQUEST = Answer(status=http.HTTPStatus.BAD_REQUEST)
_NOT_FOUND = Answer(status=http.HTTPStatus.NOT_FOUND)
_UNAVAILABLE = Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)


class HeartbeatReceiver:
    """HTTP handler that updates the daemon's register of its target."""

    def __init__(
        self, *, daemon: ProxyDaemon, leaving: LeavingWriter | None = None
    ) -> None:
        """Notify ``daemon`` of each heartbeat and deregistration.

        That the target is leaving is written by ``leaving``, if set.
        """
        self._daemon = daemon
        self._leaving = leaving

    async def answer(self, req: Request) -> Answer:
        """Handle a call; a successful answer acknowledges it.

        A leaving is announced and stored before it is acknowledged.
        """
        answer = self._dispatch(req)
        instance = self._daemon.core.instance_tracker.current
        if (
            answer is _ACCEPTED
            and self._leaving is not None
            and instance is not None
            and instance.draining_since is not None
        ):
            await self._leaving.keep(instance.process)
        return answer

    def _dispatch(self, req: Request) -> Answer:
        instance_id, _, call = req.path.removeprefix(_PREFIX).partition('/')
        if not req.path.startswith(_PREFIX) or req.method != b'POST':
            return _NOT_FOUND
        if self._daemon.is_closed:
            # No other daemon would learn of what is acknowledged now.
            return _UNAVAILABLE
        if f'/{call}' == _HEARTBEAT:
            return self._handle_heartbeat(instance_id, req.body)
        if f'/{call}' == _LEAVE:
            return self._handle_leave(
                decode_leave_notice(instance_id, req.body)
            )
        return _NOT_FOUND

    def _handle_heartbeat(self, instance_id: str, body: bytes) -> Answer:
        try:
            heartbeat = decode_heartbeat(instance_id, body)
        except PlatformFormatError as exc:
            _log.warning(
                'target.heartbeat_unreadable',
                instance=instance_id,
                cause=exc.reason,
            )
            return _BAD_REQUEST
        daemon = self._daemon
        before = daemon.core.instance_tracker.current
        outcome = daemon.core.instance_tracker.record_heartbeat(
            heartbeat, daemon.core.clock()
        )
        if _is_news(before, heartbeat):
            _log.note(
                'target.heartbeat',
                instance=instance_id,
                started_ms=heartbeat.started_ms,
                state=heartbeat.state.value,
                sequence=heartbeat.sequence,
                verdict=outcome.value,
            )
        if outcome is HeartbeatResult.FOREIGN:
            return _BAD_REQUEST
        daemon.handle_target_change()
        return _ACCEPTED

    def _handle_leave(self, notice: LeaveNotice) -> Answer:
        daemon = self._daemon
        core = daemon.core
        is_known = core.instance_tracker.record_leave(notice, core.clock())
        _log.note(
            'target.leaving',
            instance=notice.instance_id,
            started_ms=notice.started_ms,
            is_known=is_known,
        )
        daemon.handle_target_change()
        return _ACCEPTED


def _is_news(before: Instance | None, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat is of another start or state than before."""
    if before is None:
        return True
    known = before.heartbeat
    return (known.instance_id, known.started_ms, known.state) != (
        heartbeat.instance_id,
        heartbeat.started_ms,
        heartbeat.state,
    )


def decode_heartbeat(instance_id: str, body: bytes) -> Heartbeat:
    """Return the heartbeat in ``body``.

    Raises :class:`PlatformFormatError` if a field is missing or has the
    wrong type, or if the state is unknown.
    """
    document = _parse(body)
    info_table = expect_table(document.get('info'), 'info')
    status_table = expect_table(document.get('status'), 'status')
    return Heartbeat(
        instance_id=instance_id,
        started_ms=_decode_start(document),
        sequence=get_field(status_table, 'sequence', int),
        service=get_field(info_table, 'service', str),
        address=get_field(document, 'address', str),
        slots=_decode_slots(info_table),
        state=_decode_state(status_table),
        slow_start_left=parse_duration(status_table.get('warmup_left', '0ms')),
        version=_decode_software_version(info_table),
    )


def decode_leave_notice(instance_id: str, body: bytes) -> LeaveNotice:
    """Return the deregistration of a target.

    The body may be missing or invalid; unreadable fields are left out.
    """
    try:
        started_ms = _decode_start(_parse(body))
    except PlatformFormatError:
        return LeaveNotice(instance_id=instance_id)
    return LeaveNotice(instance_id=instance_id, started_ms=started_ms)


def _parse(body: bytes) -> Mapping[str, Any]:
    return expect_table(parse_json(body), 'the document')


def _decode_start(document: Mapping[str, Any]) -> int:
    started_ms = get_field(document, 'born', int)
    if started_ms <= _MAX_START_MS:
        return started_ms
    raise PlatformFormatError(reason=f'born is {started_ms}')


def _decode_slots(info_table: Mapping[str, Any]) -> int:
    slots = get_field(info_table, 'slot_count', int)
    if 0 <= slots <= _MAX_SLOTS:
        return slots
    raise PlatformFormatError(reason=f'slot_count is {slots}')


def _decode_software_version(info_table: Mapping[str, Any]) -> str:
    """Return the version of the target's software, empty if it has none."""
    if info_table.get('version') is None:
        return ''
    return get_field(info_table, 'version', str)


def _decode_state(status_table: Mapping[str, Any]) -> InstanceState:
    written = get_field(status_table, 'state', str)
    if written not in set(InstanceState):
        raise PlatformFormatError(reason=f'state {show(written)} is unknown')
    return InstanceState(written)
