"""Parser of a daemon's log."""

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
    """Lines of a log file, and its name."""

    name: str
    lines: Iterable[str]


@attrs.frozen(kw_only=True)
class LogLine:
    """Event parsed from a line; ``at`` is in Unix seconds."""

    at: float
    source: str
    fields: Fields

    @property
    def request_began_at(self) -> float:
        """Return when the request began, computed from its ``age_ms``."""
        age: float = self.fields.get('age_ms', 0)
        return self.at - age / _MS_PER_S


def read_lines(log: DaemonLog) -> Iterator[LogLine]:
    """Yield the events of ``log``, skipping lines that aren't JSON."""
    for line in log.lines:
        prefix, brace, rest = line.partition('{')
        fields = _parse(f'{brace}{rest}')
        if fields is not None:
            yield _make_line(_find_source(prefix, log), fields)


def _find_source(prefix: str, log: DaemonLog) -> str:
    words = prefix.split()
    return words[-1] if words else log.name


def _make_line(source: str, fields: Fields) -> LogLine:
    at = datetime.fromisoformat(fields[TIME]).timestamp()
    return LogLine(at=at, source=source, fields=fields)


def _parse(line: str) -> Fields | None:
    try:
        fields = json.loads(line)
    except ValueError:
        return None
    is_event = isinstance(fields, dict) and EVENT in fields
    return fields if is_event else None
