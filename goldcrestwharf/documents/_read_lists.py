"""Readers for lists of strings and maps of percentages."""

from collections.abc import Mapping

from goldcrestwharf.documents._cursor import (
    INVALID,
    Cursor,
    refuse_duplicate_keys,
)
from goldcrestwharf.documents._duplicates import find_duplicates
from goldcrestwharf.documents._format import format_raw
from goldcrestwharf.documents._read_scalars import (
    MAX_ELEMENTS,
    is_trivially_valid_text,
    read_integer,
    read_text,
)
from goldcrestwharf.documents._registry import register_reader
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._tree import Section


@register_reader(Shape.TEXTS)
def read_texts(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a list of distinct strings."""
    if not isinstance(raw, (list, tuple)):
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not a list of texts',
            'write a list such as ["one", "two"]',
        )
    if len(raw) > MAX_ELEMENTS:
        return cursor.refuse(
            f'has {len(raw)} texts', f'write at most {MAX_ELEMENTS}'
        )
    elements = [
        _read_element(index, element, spec, cursor)
        for index, element in enumerate(raw)
    ]
    if INVALID in elements:
        return INVALID
    return _to_distinct_tuple(elements, spec, cursor)


@register_reader(Shape.PERCENTS)
def read_percents(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a map from names to percentages."""
    members = raw
    if isinstance(raw, Section):
        refuse_duplicate_keys(raw, cursor)
        members = raw.members
    if not isinstance(members, Mapping):
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not a map from names to percentages',
            'write an object such as {"name": 10}',
        )
    if len(members) > MAX_ELEMENTS:
        return cursor.refuse(
            f'has {len(members)} names',
            f'write at most {MAX_ELEMENTS}',
        )
    shares = {
        name: read_integer(share, spec, cursor.within(name))
        for name, share in members.items()
    }
    return INVALID if INVALID in shares.values() else shares


def _read_element(
    index: int,
    element: object,
    spec: FieldSpec,
    cursor: Cursor,
) -> object:
    if is_trivially_valid_text(element, spec):
        return element
    return read_text(element, spec, cursor.within(str(index)))


def _to_distinct_tuple(
    elements: list[object],
    spec: FieldSpec,
    cursor: Cursor,
) -> object:
    if len(set(elements)) == len(elements):
        return tuple(elements)
    duplicates = find_duplicates(elements)
    return cursor.refuse(
        f'has {format_raw(duplicates[0], spec)} more than once',
        'keep one of them',
    )
