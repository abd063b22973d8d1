"""Gather the lines of one request from the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime
from typing import Any

import attrs

#: Events that end a request at the daemon that took it from the caller.
ENDINGS = frozenset(
    (
        'request.answered',
        'request.failed',
        'request.not_routed',
        'request.refused',
        'request.timed_out',
    )
)

_MS_PER_S = 1000
_TIME = 'time'
_EVENT = 'event'

#: Fields that each line has; the others are shown behind the event.
_COMMON = frozenset((_TIME, _EVENT, 'level', 'request', 'age_ms'))

_Fields = Mapping[str, Any]


@attrs.frozen(kw_only=True)
class DaemonLog:
    """Hold the lines of one log file and its name."""

    name: str
    lines: Iterable[str]


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """Hold one line about a request.

    ``offset_ms`` counts from the first byte of the request, as far as the
    clocks of the daemons agree, and ``source`` names the daemon's log.
    """

    offset_ms: int
    source: str
    event: str
    fields: _Fields

    def __str__(self) -> str:
        """Return the line as text."""
        offset = f'{self.offset_ms:+d} ms'
        shown = (
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _COMMON
        )
        return '  '.join((offset, self.source, self.event, ' '.join(shown)))


@attrs.frozen(kw_only=True)
class _Line:
    """Hold a parsed line; ``at`` is in Unix seconds."""

    at: float
    source: str
    fields: _Fields

    @property
    def began_at(self) -> float:
        """Return when the request began, by its age in the line."""
        age: float = self.fields.get('age_ms', 0)
        return self.at - age / _MS_PER_S


def find_timeline(
    request_id: str,
    logs: Iterable[DaemonLog],
) -> tuple[TimelineEntry, ...]:
    """Return the lines on a request and on the calls made for it, by time.

    Lines that are no JSON are passed over; what stands before the JSON
    names the source.
    """
    found = [
        line
        for log in logs
        for line in _read_lines(log)
        if _belongs(line.fields, request_id)
    ]
    found.sort(key=lambda line: line.at)
    began_at = min((line.began_at for line in found), default=0)
    return tuple(_make_entry(line, began_at) for line in found)


def find_ending(timeline: Iterable[TimelineEntry]) -> TimelineEntry | None:
    """Return the entry that ended the request, if it was logged."""
    endings = [entry for entry in timeline if entry.event in ENDINGS]
    return endings[-1] if endings else None


def _make_entry(line: _Line, began_at: float) -> TimelineEntry:
    return TimelineEntry(
        offset_ms=round((line.at - began_at) * _MS_PER_S),
        source=line.source,
        event=line.fields[_EVENT],
        fields=line.fields,
    )


def _read_lines(log: DaemonLog) -> Iterator[_Line]:
    for written in log.lines:
        begin = written.find('{')
        fields = _parse(written[begin:])
        if fields is not None:
            source = written[:begin].split()[-1:] or [log.name]
            yield _make_line(source[0], fields)


def _make_line(source: str, fields: _Fields) -> _Line:
    at = datetime.fromisoformat(fields[_TIME]).timestamp()
    return _Line(at=at, source=source, fields=fields)


def _parse(written: str) -> _Fields | None:
    try:
        fields = json.loads(written)
    except ValueError:
        return None
    is_event = isinstance(fields, dict) and _EVENT in fields
    return fields if is_event else None


def _belongs(fields: _Fields, request_id: str) -> bool:
    """Tell whether a line is of a request, or of a call made for it."""
    logged = str(fields.get('request', ''))
    return logged == request_id or logged.startswith(f'{request_id}.')
