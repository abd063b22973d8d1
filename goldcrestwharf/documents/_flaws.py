"""Find what keeps a document from being parsed."""

import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

import attrs

#: A JSON value may lie this many lists and objects deep.
MAX_DEPTH = 32


@attrs.frozen(kw_only=True)
class Flaw:
    """State why a document can't be parsed, and the remedy."""

    reason: str
    remedy: str


class FlawFinder(Protocol):
    """Look for a flaw at a token that lies ``depth`` deep."""

    def __call__(self, match: re.Match[str], depth: int) -> Flaw | None:
        """Return the flaw, if the token is one."""


def line_of(written: str, position: int) -> int:
    """Return the number, from 1, of the line that ``position`` is on."""
    return written.count('\n', 0, position) + 1


def _find_depth_flaw(match: re.Match[str], depth: int) -> Flaw | None:
    if depth <= MAX_DEPTH:
        return None
    line = line_of(match.string, match.start())
    return Flaw(
        reason=f'line {line}: nested more than {MAX_DEPTH} deep',
        remedy='close the braces and brackets that were left open',
    )


def _find_open_string(match: re.Match[str], depth: int) -> Flaw:
    line = line_of(match.string, match.start())
    return Flaw(
        reason=f'line {line}: a string is not closed',
        remedy='close it with a double quote on the same line',
    )


def _find_open_comment(match: re.Match[str], depth: int) -> Flaw:
    line = line_of(match.string, match.start())
    return Flaw(
        reason=f'line {line}: a comment is not closed',
        remedy='close it with */',
    )


#: The token groups of the scanner and what may be wrong with each.
FLAW_FINDERS: Mapping[str, FlawFinder] = MappingProxyType(
    {
        'open': _find_depth_flaw,
        'string': _find_open_string,
        'comment': _find_open_comment,
    }
)
