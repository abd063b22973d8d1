"""Decode values in the formats of the platform.

Any of them may come from another writer. What can't be used raises
:class:`PlatformFormatError`, whatever it is.
"""

import json
import re

_MS_PER_S = 1000
_VERSION = re.compile('r([0-9]{1,18})')
# No two repeats can match the same digits, so that matching takes linear time.
_DURATION = re.compile(r'(-?(?:[0-9]+(?:\.[0-9]+)?|\.[0-9]+))(ms|s)')

#: Bounds of integers, so that each fits into messages between daemons.
MAX_INT = 1_000_000_000_000_000_000
MIN_INT = -MAX_INT

#: Longest text that is parsed as a duration or a version.
_MAX_PARSED_CHARS = 4096

#: Longest duration, about 30 years.
_MAX_DURATION_S = 1e9

#: Longest excerpt of a value in an error.
_MAX_SHOWN_CHARS = 80


class PlatformFormatError(Exception):
    """Raised for an invalid document of the platform."""

    def __init__(self, *, reason: str) -> None:
        """Describe the error and its place in ``reason``."""
        super().__init__(reason)
        self.reason = reason


def parse_json(written: bytes) -> object:
    """Return the value that is written as JSON."""
    try:
        return json.loads(written)
    except ValueError as exc:
        raise PlatformFormatError(reason=f'invalid JSON: {exc}') from exc
    except RecursionError as exc:
        raise PlatformFormatError(reason='too deeply nested JSON') from exc


def show(found: object) -> str:
    """Return a short text for a value of any size and depth."""
    if isinstance(found, str | bytes):
        return ascii(found[:_MAX_SHOWN_CHARS])
    if isinstance(found, int) and not MIN_INT <= found <= MAX_INT:
        return 'a number out of range'
    if found is None or isinstance(found, int | float):
        return repr(found)
    return f'a {type(found).__name__}'


def parse_duration(written: object) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``."""
    found = _match(_DURATION, written)
    if found is not None:
        scale = _MS_PER_S if found.group(2) == 'ms' else 1
        seconds = float(found.group(1)) / scale
        if abs(seconds) <= _MAX_DURATION_S:
            return seconds
    raise PlatformFormatError(reason=f'{show(written)} is not a duration')


def parse_version(written: object) -> int:
    """Return the number of a configuration version such as ``r12``."""
    found = _match(_VERSION, written)
    if found is not None:
        return int(found.group(1))
    raise PlatformFormatError(reason=f'{show(written)} is not a version')


def _match(pattern: re.Pattern[str], written: object) -> re.Match[str] | None:
    """Return the match of all of ``written``, if it is a short text."""
    if isinstance(written, str) and len(written) <= _MAX_PARSED_CHARS:
        return pattern.fullmatch(written)
    return None
