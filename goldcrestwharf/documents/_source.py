"""Parse JSON with comments, with limits on size and depth."""

import json
import re
from collections.abc import Callable

import jsonc
from returns.result import Failure, Result, Success

from goldcrestwharf.documents._parse_failures import ParseFailure, line_of
from goldcrestwharf.documents._problem import Place, Problem, Problems
from goldcrestwharf.documents._scan import blank_comments
from goldcrestwharf.documents._tree import (
    UnsupportedNumber,
    make_integer,
    make_section,
)

#: Maximum size; a set of 2,000 services takes less than a tenth of it.
MAX_DOCUMENT_BYTES = 16_777_216

_TRAILING_COMMA = re.compile(r'("(?:\\.|[^"\\])*")|,(?=\s*[\]}])', re.DOTALL)


def parse_source(raw: bytes, place: Place) -> Result[object, Problems]:
    """Return the parsed tree, with each JSON object as a :class:`Section`.

    For a document that can't be parsed, returns one problem at ``place``,
    which names the first invalid line.
    """
    parsed = _decode(raw).bind(blank_comments).bind(_parse)
    return parsed.alt(lambda failure: (_make_problem(failure, place),))


def _make_problem(failure: ParseFailure, place: Place) -> Problem:
    return Problem(place=place, reason=failure.reason, remedy=failure.remedy)


def _decode(raw: bytes) -> Result[str, ParseFailure]:
    if len(raw) > MAX_DOCUMENT_BYTES:
        return Failure(
            ParseFailure(
                reason=f'{len(raw)} bytes, more than {MAX_DOCUMENT_BYTES}',
                remedy='check that this is the right file',
            )
        )
    try:
        return Success(raw.decode('utf-8-sig'))
    except UnicodeDecodeError as exc:
        line = raw.count(b'\n', 0, exc.start) + 1
        return Failure(
            ParseFailure(
                reason=f'line {line}: not valid UTF-8',
                remedy='save the file with the encoding UTF-8',
            )
        )


def _parse(blanked: str) -> Result[object, ParseFailure]:
    # Most documents without their comments are strict JSON. Parsing that
    # takes a fifth of the time that jsonc needs, as it searches for trailing
    # commas.
    strict = _try_parse(json.loads, blanked)
    if isinstance(strict, Success):
        return strict
    lenient = _try_parse(jsonc.loads, blanked)
    return lenient.alt(lambda exc: _locate_error(blanked, exc))


def _try_parse(
    loads: Callable[..., object],
    blanked: str,
) -> Result[object, json.JSONDecodeError]:
    try:
        return Success(
            loads(
                blanked,
                object_pairs_hook=make_section,
                parse_int=make_integer,
                parse_float=UnsupportedNumber,
                parse_constant=UnsupportedNumber,
            )
        )
    except json.JSONDecodeError as exc:
        return Failure(exc)


def _locate_error(blanked: str, first: json.JSONDecodeError) -> ParseFailure:
    # jsonc removes trailing commas together with the line ends after them,
    # which makes its line numbers wrong. Replace the commas alone with spaces
    # and parse again to find the right line.
    strict = _TRAILING_COMMA.sub(lambda match: match.group(1) or ' ', blanked)
    exc = _find_strict_error(strict) or first
    line = line_of(exc.doc, exc.pos)
    return ParseFailure(
        reason=f'line {line} column {exc.colno}: {_describe(exc)}',
        remedy='mend the punctuation there or on the line before',
    )


def _find_strict_error(strict: str) -> json.JSONDecodeError | None:
    try:
        json.loads(strict, parse_int=make_integer)
    except json.JSONDecodeError as exc:
        return exc
    return None


def _describe(exc: json.JSONDecodeError) -> str:
    if exc.pos >= len(exc.doc.rstrip()):
        return 'the document ends too early'
    return exc.msg[0].lower() + exc.msg[1:]
