"""Check the tokens of a document for what makes it unparsable."""

import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

import attrs

#: Maximum nesting depth of lists and objects.
MAX_DEPTH = 32


@attrs.frozen(kw_only=True)
class ParseFailure:
    """The reason why a document can't be parsed, and the remedy."""

    reason: str
    remedy: str


class ParseCheck(Protocol):
    """A check of one token at nesting depth ``depth``."""

    def __call__(self, match: re.Match[str], depth: int) -> ParseFailure | None:
        """Return the failure, or ``None`` if the token is valid."""


def line_of(text: str, position: int) -> int:
    """Return the line number of ``position``, counted from 1."""
    return text.count('\n', 0, position) + 1


def _check_depth(match: re.Match[str], depth: int) -> ParseFailure | None:
    if depth <= MAX_DEPTH:
        return None
    line = line_of(match.string, match.start())
    return ParseFailure(
        reason=f'line {line}: nested more than {MAX_DEPTH} deep',
        remedy='close the braces and brackets that were left open',
    )


def _report_unclosed_string(match: re.Match[str], depth: int) -> ParseFailure:
    line = line_of(match.string, match.start())
    return ParseFailure(
        reason=f'line {line}: a string is not closed',
        remedy='close it with a double quote on the same line',
    )


def _report_unclosed_comment(match: re.Match[str], depth: int) -> ParseFailure:
    line = line_of(match.string, match.start())
    return ParseFailure(
        reason=f'line {line}: a comment is not closed',
        remedy='close it with */',
    )


#: The checks by the name of the scanner's token group.
PARSE_CHECKS: Mapping[str, ParseCheck] = MappingProxyType(
    {
        'opening_bracket': _check_depth,
        'unclosed_string': _report_unclosed_string,
        'unclosed_comment': _report_unclosed_comment,
    }
)
