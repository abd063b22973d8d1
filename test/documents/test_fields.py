"""Each shape of field is validated alike in a document and in a model."""

import json
from collections.abc import Mapping

import attrs
import pytest

from goldcrestwharf.documents import (
    MAX_ELEMENTS,
    MAX_TEXT_CHARS,
    Place,
    flag,
    integer,
    percents,
    read_document,
    validate_model,
)
from goldcrestwharf.documents import text as text_field
from goldcrestwharf.documents import texts as texts_field

PLACE = Place(kind='sample')
NUMBERS = tuple(str(number) for number in range(MAX_ELEMENTS + 1))


@attrs.frozen(kw_only=True)
class Sample:
    number: int = integer(5, summary='number', low=1, high=9)
    word: str = text_field('', summary='word', pattern='[a-z]*')
    free: str = text_field('', summary='free')
    size: str = text_field('big', summary='size', choices=('big', 'small'))
    parts: tuple[str, ...] = texts_field(summary='parts')
    shares: Mapping[str, int] = percents(summary='shares')
    is_on: bool | None = flag(None, summary='on')


GOOD = (
    {},
    {'number': 1},
    {'number': 9},
    {'word': 'abc'},
    {'free': 'é ü'},
    {'free': 'x' * MAX_TEXT_CHARS},
    {'size': 'small'},
    {'parts': NUMBERS[1:]},
    {'shares': dict.fromkeys(NUMBERS[1:], 0)},
    {'is_on': True},
    {'is_on': None},
)

BAD = (
    {'number': 0},
    {'number': 10},
    {'number': True},
    {'number': 1.5},
    {'number': 5.0},
    {'number': '5'},
    {'number': None},
    {'word': 'A'},
    {'word': 'a\n'},
    {'word': 5},
    {'free': 'x' * (MAX_TEXT_CHARS + 1)},
    {'free': 'a\x00'},
    {'free': '\u202egnp'},
    {'free': '\ud800'},
    {'free': None},
    {'size': 'smal'},
    {'parts': NUMBERS},
    {'parts': ('a', 'a')},
    {'parts': ('a', 1)},
    {'parts': 'abc'},
    {'shares': dict.fromkeys(NUMBERS, 0)},
    {'shares': {'a': 101}},
    {'shares': {'a': True}},
    {'shares': ('a',)},
    {'is_on': 1},
    {'is_on': 'true'},
)


@pytest.mark.parametrize('fields', GOOD, ids=lambda fields: str(fields)[:40])
def test_valid_field_is_accepted_in_document_and_model(
    fields: dict[str, object],
) -> None:
    reading = read_document(json.dumps(fields).encode(), Sample, PLACE)
    assert reading.problems == ()
    assert reading.model == Sample(**fields)
    assert validate_model(Sample(**fields), PLACE) == ()


@pytest.mark.parametrize('fields', BAD, ids=lambda fields: str(fields)[:40])
def test_invalid_field_is_refused_in_document_and_model(
    fields: dict[str, object],
) -> None:
    raw = json.dumps(fields).encode()
    name = next(iter(fields))
    for problems in (
        read_document(raw, Sample, PLACE).problems,
        validate_model(Sample(**fields), PLACE),
    ):
        assert problems
        for problem in problems:
            assert problem.place.field.split('.')[0] == name
