"""Parse JSON with comments, bounded in size and depth."""

import json
import re
from collections.abc import Callable

import jsonc
from returns.result import Failure, Result, Success

from goldcrestwharf.documents._flaws import Flaw, line_of
from goldcrestwharf.documents._problem import Place, Problem, Problems
from goldcrestwharf.documents._scan import blank_comments
from goldcrestwharf.documents._tree import (
    OddNumber,
    make_integer,
    make_section,
)

#: A set of 2,000 services takes less than a tenth of this.
MAX_DOCUMENT_BYTES = 16_777_216

_LAST_COMMA = re.compile(r'("(?:\\.|[^"\\])*")|,(?=\s*[\]}])', re.DOTALL)


def parse_source(raw: bytes, place: Place) -> Result[object, Problems]:
    """Return the parsed tree, with each JSON object as a :class:`Section`.

    A text that can't be parsed gives one problem at ``place``, which names
    the first line that is wrong.
    """
    parsed = _decode(raw).bind(blank_comments).bind(_parse)
    return parsed.alt(lambda flaw: (_problem(flaw, place),))


def _problem(flaw: Flaw, place: Place) -> Problem:
    return Problem(place=place, reason=flaw.reason, remedy=flaw.remedy)


def _decode(raw: bytes) -> Result[str, Flaw]:
    if len(raw) > MAX_DOCUMENT_BYTES:
        return Failure(
            Flaw(
                reason=f'{len(raw)} bytes, more than {MAX_DOCUMENT_BYTES}',
                remedy='check that this is the right file',
            )
        )
    try:
        return Success(raw.decode('utf-8-sig'))
    except UnicodeDecodeError as exc:
        line = raw.count(b'\n', 0, exc.start) + 1
        return Failure(
            Flaw(
                reason=f'line {line}: not valid UTF-8',
                remedy='save the file with the encoding UTF-8',
            )
        )


def _parse(blanked: str) -> Result[object, Flaw]:
    # Most documents are plain JSON once their comments are gone, which takes
    # a fifth of the time that the library needs to look for commas.
    strict = _try_parse(json.loads, blanked)
    if isinstance(strict, Success):
        return strict
    lenient = _try_parse(jsonc.loads, blanked)
    return lenient.alt(lambda exc: _locate(blanked, exc))


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
                parse_float=OddNumber,
                parse_constant=OddNumber,
            )
        )
    except json.JSONDecodeError as exc:
        return Failure(exc)


def _locate(blanked: str, first: json.JSONDecodeError) -> Flaw:
    # The library drops trailing commas together with the line ends after
    # them; only a parse that keeps those counts the lines rightly.
    kept = _LAST_COMMA.sub(lambda match: match.group(1) or ' ', blanked)
    exc = _find_error(kept) or first
    line = line_of(exc.doc, exc.pos)
    return Flaw(
        reason=f'line {line} column {exc.colno}: {_describe(exc)}',
        remedy='mend the punctuation there or on the line before',
    )


def _find_error(kept: str) -> json.JSONDecodeError | None:
    try:
        json.loads(kept, parse_int=make_integer)
    except json.JSONDecodeError as exc:
        return exc
    return None


def _describe(exc: json.JSONDecodeError) -> str:
    if exc.pos >= len(exc.doc.rstrip()):
        return 'the document ends too early'
    return exc.msg[0].lower() + exc.msg[1:]
