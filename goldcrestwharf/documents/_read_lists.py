"""Read lists of texts and maps of percentages."""

from collections.abc import Mapping

from goldcrestwharf.documents._cursor import (
    UNUSABLE,
    Cursor,
    refuse_duplicates,
)
from goldcrestwharf.documents._read_scalars import (
    MAX_PARTS,
    is_plain_text,
    read_integer,
    read_text,
)
from goldcrestwharf.documents._registry import reads
from goldcrestwharf.documents._repeated import find_repeated
from goldcrestwharf.documents._show import show
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._tree import Section


@reads(Shape.TEXTS)
def read_texts(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a list of different texts."""
    if not isinstance(raw, (list, tuple)):
        return cursor.refuse(
            f'is {show(raw, spec)}, not a list of texts',
            'write a list such as ["one", "two"]',
        )
    if len(raw) > MAX_PARTS:
        return cursor.refuse(
            f'has {len(raw)} texts', f'write {MAX_PARTS} at most'
        )
    parts = [
        _read_part(number, part, spec, cursor)
        for number, part in enumerate(raw)
    ]
    if UNUSABLE in parts:
        return UNUSABLE
    return _check_twice(parts, spec, cursor)


@reads(Shape.PERCENTS)
def read_percents(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a map from names to percentages."""
    members = raw
    if isinstance(raw, Section):
        refuse_duplicates(raw, cursor)
        members = raw.members
    if not isinstance(members, Mapping):
        return cursor.refuse(
            f'is {show(raw, spec)}, not a map from names to percentages',
            'write an object such as {"name": 10}',
        )
    if len(members) > MAX_PARTS:
        return cursor.refuse(
            f'has {len(members)} names',
            f'write {MAX_PARTS} at most',
        )
    shares = {
        name: read_integer(share, spec, cursor.within(name))
        for name, share in members.items()
    }
    return UNUSABLE if UNUSABLE in shares.values() else shares


def _read_part(
    number: int,
    part: object,
    spec: FieldSpec,
    cursor: Cursor,
) -> object:
    if is_plain_text(part, spec):
        return part
    return read_text(part, spec, cursor.within(str(number)))


def _check_twice(
    parts: list[object],
    spec: FieldSpec,
    cursor: Cursor,
) -> object:
    if len(set(parts)) == len(parts):
        return tuple(parts)
    twice = find_repeated(parts)
    return cursor.refuse(
        f'has {show(twice[0], spec)} more than once',
        'keep one of them',
    )
