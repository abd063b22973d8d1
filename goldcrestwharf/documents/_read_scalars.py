"""Read whole numbers, texts and flags."""

import re

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._registry import reads
from goldcrestwharf.documents._show import show, show_unit
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._suggest import Suggester

#: No text of a document is longer.
MAX_TEXT_CHARS = 1024

# Control and formatting characters, and halves of surrogate pairs: they
# can't be seen or can't be stored.
_INVISIBLE = re.compile(
    '[\x00-\x1f\x7f-\x9f\xad\u200b-\u200f\u2028-\u202e'
    '\u2060-\u206f\ufeff\ud800-\udfff]'
)


@reads(Shape.INTEGER)
def read_integer(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a whole number within its bounds."""
    bounds = f'from {spec.low} to {spec.high}{show_unit(spec)}'
    if not isinstance(raw, int) or isinstance(raw, bool):
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
