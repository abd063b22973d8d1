"""Take what the target beside this daemon reports."""

import http
import json
from collections.abc import Mapping
from typing import Any

from goldcrestwharf.discovery import (
    Heartbeat,
    HeartbeatResult,
    InstanceState,
    LeaveNotice,
)
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    seconds,
    take,
    take_table,
)
from goldcrestwharf.proxy import ProxyDaemon

_log = EventLog(__name__)

_PREFIX = '/-/instances/'
_HEARTBEAT = '/heartbeat'
_LEAVE = '/deregister'

_EMPTY = Answer(
    status=http.HTTPStatus.OK,
    head=b'Content-Type: application/json\r\n',
    body=b'{}',
)
_BAD = Answer(status=http.HTTPStatus.BAD_REQUEST)
_UNKNOWN = Answer(status=http.HTTPStatus.NOT_FOUND)


class HeartbeatReceiver:
    """Feed the daemon's register from the target's calls."""

    def __init__(self, *, daemon: ProxyDaemon) -> None:
        """Tell ``daemon`` of each change."""
        self._daemon = daemon

    async def answer(self, req: Request) -> Answer:
        """Answer a call; the answer acknowledges what it says."""
        instance_id, _, call = req.path.removeprefix(_PREFIX).partition('/')
        if not req.path.startswith(_PREFIX) or req.method != b'POST':
            return _UNKNOWN
        if f'/{call}' == _HEARTBEAT:
            return self._beat(instance_id, req.body)
        if f'/{call}' == _LEAVE:
            return self._leave(decode_leaving(instance_id, req.body))
        return _UNKNOWN

    def _beat(self, instance_id: str, body: bytes) -> Answer:
        try:
            heartbeat = decode_heartbeat(instance_id, body)
        except PlatformFormatError as exc:
            _log.warn(
                'target.heartbeat_unreadable',
                instance=instance_id,
                cause=exc.reason,
            )
            return _BAD
        daemon = self._daemon
        before = daemon.core.instance_tracker.current
        verdict = daemon.core.instance_tracker.record_heartbeat(
            heartbeat, daemon.core.clock()
        )
        if before is None or before.heartbeat.state is not heartbeat.state:
            _log.note(
                'target.heartbeat',
                instance=instance_id,
                state=heartbeat.state.value,
                sequence=heartbeat.sequence,
                verdict=verdict.value,
            )
        if verdict is HeartbeatResult.FOREIGN:
            return _BAD
        daemon.handle_target_change()
        return _EMPTY

    def _leave(self, leaving: LeaveNotice) -> Answer:
        daemon = self._daemon
        core = daemon.core
        is_known = core.instance_tracker.record_leave(leaving, core.clock())
        _log.note(
            'target.leaving',
            instance=leaving.instance_id,
            is_known=is_known,
        )
        daemon.handle_target_change()
        return _EMPTY


def decode_heartbeat(instance_id: str, body: bytes) -> Heartbeat:
    """Return a target's statement about itself.

    Raises :class:`PlatformFormatError` if a field is missing or of another
    type, or names an unknown state.
    """
    try:
        parsed = json.loads(body)
    except ValueError as exc:
        raise PlatformFormatError(reason=f'no JSON: {exc}') from exc
    document = take_table(parsed, 'the heartbeat')
    traits = take_table(document.get('info'), 'info')
    condition = take_table(document.get('status'), 'status')
    return Heartbeat(
        instance_id=instance_id,
        started_ms=take(document, 'born', int),
        sequence=take(condition, 'sequence', int),
        service=take(traits, 'service', str),
        address=take(document, 'address', str),
        slots=take(traits, 'slot_count', int),
        state=_decode_state(condition),
        slow_start_left=seconds(condition.get('warmup_left', '0ms')),
    )


def decode_leaving(instance_id: str, body: bytes) -> LeaveNotice:
    """Return a target's statement that it leaves.

    Its body may be missing; what can't be read of it is left out.
    """
    try:
        parsed = json.loads(body)
    except ValueError:
        return LeaveNotice(instance_id=instance_id)
    started = parsed.get('born') if isinstance(parsed, dict) else None
    is_whole = isinstance(started, int) and not isinstance(started, bool)
    return LeaveNotice(
        instance_id=instance_id,
        started_ms=started if is_whole else None,
    )


def _decode_state(condition: Mapping[str, Any]) -> InstanceState:
    written = take(condition, 'state', str)
    if written not in set(InstanceState):
        raise PlatformFormatError(reason=f'state {written!r} is unknown')
    return InstanceState(written)
