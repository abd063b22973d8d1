"""Read the lines of a daemon's log."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime
from typing import Any

import attrs

EVENT = 'event'
TIME = 'time'

_MS_PER_S = 1000

Fields = Mapping[str, Any]


@attrs.frozen(kw_only=True)
class DaemonLog:
    """Hold the lines of one log file and its name."""

    name: str
    lines: Iterable[str]


@attrs.frozen(kw_only=True)
class LogLine:
    """Hold a parsed line; ``at`` is in Unix seconds."""

    at: float
    source: str
    fields: Fields

    @property
    def began_at(self) -> float:
        """Return when the request began, by its age in the line."""
        age: float = self.fields.get('age_ms', 0)
        return self.at - age / _MS_PER_S


def read_lines(log: DaemonLog) -> Iterator[LogLine]:
    """Yield the events of a log; lines that are no JSON are passed over."""
    for written in log.lines:
        prefix, brace, rest = written.partition('{')
        fields = _parse(f'{brace}{rest}')
        if fields is not None:
            yield _make_line(_find_source(prefix, log), fields)


def _find_source(prefix: str, log: DaemonLog) -> str:
    words = prefix.split()
    return words[-1] if words else log.name


def _make_line(source: str, fields: Fields) -> LogLine:
    at = datetime.fromisoformat(fields[TIME]).timestamp()
    return LogLine(at=at, source=source, fields=fields)


def _parse(written: str) -> Fields | None:
    try:
        fields = json.loads(written)
    except ValueError:
        return None
    is_event = isinstance(fields, dict) and EVENT in fields
    return fields if is_event else None
