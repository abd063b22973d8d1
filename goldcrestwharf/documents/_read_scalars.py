"""Readers for integers, strings and booleans."""

import re
from typing import TypeGuard

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._format import format_raw, format_unit
from goldcrestwharf.documents._registry import register_reader
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._suggest import Suggester

#: Maximum length of a string in a document.
MAX_TEXT_CHARS = 1024

#: Maximum number of elements of a list or map in one field.
MAX_ELEMENTS = 1000

# Control and formatting characters, which are invisible, and lone surrogates,
# which can't be stored.
_INVISIBLE = re.compile(
    '[\x00-\x1f\x7f-\x9f\xad\u200b-\u200f\u2028-\u202e'
    '\u2060-\u206f\ufeff\ud800-\udfff]'
)


def is_trivially_valid(raw: object, spec: FieldSpec) -> bool:
    """Return whether a quick check shows that ``raw`` is valid.

    Most values pass it, which saves making a cursor to report problems at.
    Others aren't necessarily invalid; they need the full check.
    """
    if spec.shape is Shape.INTEGER:
        return _is_integer(raw) and spec.low <= raw <= spec.high
    if spec.shape is Shape.TEXTS and isinstance(raw, tuple):
        return _are_trivially_valid_texts(raw, spec)
    return spec.shape is Shape.TEXT and is_trivially_valid_text(raw, spec)


def is_trivially_valid_text(raw: object, spec: FieldSpec) -> bool:
    """Return whether a quick check shows that ``raw`` is a valid string."""
    if not isinstance(raw, str) or len(raw) > MAX_TEXT_CHARS:
        return False
    if spec.pattern is not None or spec.choices:
        return False
    return raw.isascii() and raw.isprintable()


def _are_trivially_valid_texts(
    elements: tuple[object, ...],
    spec: FieldSpec,
) -> bool:
    count = len(elements)
    if count > MAX_ELEMENTS or count != len(set(elements)):
        return False
    return all(is_trivially_valid_text(element, spec) for element in elements)


def _is_integer(raw: object) -> TypeGuard[int]:
    # bool is a subclass of int.
    return isinstance(raw, int) and not isinstance(raw, bool)


@register_reader(Shape.INTEGER)
def read_integer(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read an integer and check its bounds."""
    bounds = f'from {spec.low} to {spec.high}{format_unit(spec)}'
    if not _is_integer(raw):
        quotes = ', without quotes' if isinstance(raw, str) else ''
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not a whole number',
            f'write a whole number {bounds}{quotes}',
        )
    if spec.low <= raw <= spec.high:
        return raw
    return cursor.refuse(
        f'is {raw}{format_unit(spec)}, out of range',
        f'write a whole number {bounds}',
    )


@register_reader(Shape.TEXT)
def read_text(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a string and check its length, characters and form."""
    if not isinstance(raw, str):
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not a text',
            'write a text in double quotes',
        )
    if len(raw) > MAX_TEXT_CHARS:
        return cursor.refuse(
            f'has {len(raw)} characters',
            f'write at most {MAX_TEXT_CHARS}',
        )
    if _INVISIBLE.search(raw):
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, with characters that cannot be seen',
            'type the text anew instead of pasting it',
        )
    return _check_form(raw, spec, cursor)


@register_reader(Shape.FLAG)
def read_flag(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a boolean."""
    if isinstance(raw, bool):
        return raw
    return cursor.refuse(
        f'is {format_raw(raw, spec)}, neither true nor false',
        'write true or false without quotes, or leave the field out',
    )


def _check_form(raw: str, spec: FieldSpec, cursor: Cursor) -> object:
    if spec.choices and raw not in spec.choices:
        allowed = ', '.join(spec.choices)
        suggester = Suggester(names=spec.choices)
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not one of {allowed}',
            suggester.remedy(raw, f'write one of {allowed}'),
        )
    if spec.pattern is None or re.fullmatch(spec.pattern, raw):
        return raw
    form = spec.form or f'a text of the form {spec.pattern}'
    return cursor.refuse(
        f'is {format_raw(raw, spec)}, not {form}', f'write {form}'
    )
