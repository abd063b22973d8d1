"""Read whole numbers, texts and flags."""

import re
from typing import TypeGuard

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._registry import reads
from goldcrestwharf.documents._show import show, show_unit
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._suggest import Suggester

#: No text of a document is longer.
MAX_TEXT_CHARS = 1024

#: A list or map within one field is no longer.
MAX_PARTS = 1000

# Control and formatting characters, and halves of surrogate pairs: they
# can't be seen or can't be stored.
_INVISIBLE = re.compile(
    '[\x00-\x1f\x7f-\x9f\xad\u200b-\u200f\u2028-\u202e'
    '\u2060-\u206f\ufeff\ud800-\udfff]'
)


def is_plain(raw: object, spec: FieldSpec) -> bool:
    """Tell whether ``raw`` is surely fine, without a closer look.

    Most fields are, and need no cursor to report problems with.
    """
    if spec.shape is Shape.INTEGER:
        return _is_integer(raw) and spec.low <= raw <= spec.high
    if spec.shape is Shape.TEXTS and isinstance(raw, tuple):
        return _are_plain_texts(raw, spec)
    return spec.shape is Shape.TEXT and is_plain_text(raw, spec)


def is_plain_text(raw: object, spec: FieldSpec) -> bool:
    """Tell whether ``raw`` is surely a text that ``spec`` allows."""
    if not isinstance(raw, str) or len(raw) > MAX_TEXT_CHARS:
        return False
    if spec.pattern is not None or spec.choices:
        return False
    return raw.isascii() and raw.isprintable()


def _are_plain_texts(parts: tuple[object, ...], spec: FieldSpec) -> bool:
    count = len(parts)
    if count > MAX_PARTS or count != len(set(parts)):
        return False
    return all(is_plain_text(part, spec) for part in parts)


def _is_integer(raw: object) -> TypeGuard[int]:
    # The flags are whole numbers too, as far as the language goes.
    return isinstance(raw, int) and not isinstance(raw, bool)


@reads(Shape.INTEGER)
def read_integer(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a whole number within its bounds."""
    bounds = f'from {spec.low} to {spec.high}{show_unit(spec)}'
    if not _is_integer(raw):
        quotes = ', without quotes' if isinstance(raw, str) else ''
        return cursor.refuse(
            f'is {show(raw, spec)}, not a whole number',
            f'write a whole number {bounds}{quotes}',
        )
    if spec.low <= raw <= spec.high:
        return raw
    return cursor.refuse(
        f'is {raw}{show_unit(spec)}, out of range',
        f'write a whole number {bounds}',
    )


@reads(Shape.TEXT)
def read_text(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a text that has the form that its field wants."""
    if not isinstance(raw, str):
        return cursor.refuse(
            f'is {show(raw, spec)}, not a text',
            'write a text in double quotes',
        )
    if len(raw) > MAX_TEXT_CHARS:
        return cursor.refuse(
            f'has {len(raw)} characters',
            f'write {MAX_TEXT_CHARS} at most',
        )
    if _INVISIBLE.search(raw):
        return cursor.refuse(
            f'is {show(raw, spec)}, with characters that cannot be seen',
            'type the text anew instead of pasting it',
        )
    return _check_form(raw, spec, cursor)


@reads(Shape.FLAG)
def read_flag(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read ``true`` or ``false``."""
    if isinstance(raw, bool):
        return raw
    return cursor.refuse(
        f'is {show(raw, spec)}, neither true nor false',
        'write true or false without quotes, or leave the field out',
    )


def _check_form(raw: str, spec: FieldSpec, cursor: Cursor) -> object:
    if spec.choices and raw not in spec.choices:
        allowed = ', '.join(spec.choices)
        suggester = Suggester(names=spec.choices)
        return cursor.refuse(
            f'is {show(raw, spec)}, not one of {allowed}',
            suggester.remedy(raw, f'write one of {allowed}'),
        )
    if spec.pattern is None or re.fullmatch(spec.pattern, raw):
        return raw
    form = spec.form or f'a text of the form {spec.pattern}'
    return cursor.refuse(f'is {show(raw, spec)}, not {form}', f'write {form}')
