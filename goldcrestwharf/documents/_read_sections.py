"""Read sections and maps of sections.

A section with problems is read all the same, with defaults in place of what
can't be used, so that the checks which follow can report on the rest.
"""

from collections.abc import Iterator
from typing import Any, TypeVar

from goldcrestwharf.documents._cursor import (
    UNUSABLE,
    Cursor,
    refuse_duplicates,
)
from goldcrestwharf.documents._problem import Place
from goldcrestwharf.documents._read_scalars import is_plain
from goldcrestwharf.documents._registry import read_field, reads
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._show import show
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._tree import Section

_ModelT = TypeVar('_ModelT')


def read_model(
    section: Section,
    model: type[_ModelT],
    cursor: Cursor,
) -> _ModelT:
    """Return a model with the fields of a section that can be used."""
    schema = _look_up(model)
    refuse_duplicates(section, cursor)
    usable: dict[str, Any] = {}
    for key, raw in section.members.items():
        read = _read_member(key, raw, schema, cursor)
        if read is not UNUSABLE:
            usable[key] = read
    _refuse_missing(section, schema, cursor)
    return model(**{**schema.placeholders, **usable})


@reads(Shape.SECTION)
def read_section(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a section."""
    if isinstance(raw, Section):
        return read_model(raw, spec.schema, cursor)
    cursor.refuse(f'is {show(raw, spec)}, not an object', 'write it in braces')
    return spec.schema(**schema_of(spec.schema).placeholders)


@reads(Shape.SECTIONS)
def read_sections(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a map from names to sections."""
    if not isinstance(raw, Section):
        return cursor.refuse(
            f'is {show(raw, spec)}, not an object',
            f'write each {spec.word} as "name": {{...}} in braces',
        )
    sections: dict[str, object] = {}
    for twice in raw.duplicates:
        named = _enter(cursor, spec, twice)
        named.refuse('is in the document more than once', 'keep one of them')
    for name, part in _all_members(raw):
        sections[name] = read_section(part, spec, _enter(cursor, spec, name))
    return sections


def _all_members(section: Section) -> Iterator[tuple[str, object]]:
    yield from section.hidden
    for name, part in section.members.items():
        if name not in section.duplicates:
            yield name, part


def _look_up(model: type) -> Schema:
    return schema_of(model)


def _enter(cursor: Cursor, spec: FieldSpec, name: str) -> Cursor:
    return Cursor(cursor.report, Place(kind=spec.word, name=name))


def _read_member(
    key: str,
    raw: object,
    schema: Schema,
    cursor: Cursor,
) -> object:
    spec = schema.specs.get(key)
    if spec is None:
        return cursor.within(key).refuse(
            'is not a known field', schema.suggest(key)
        )
    if is_plain(raw, spec) or (raw is None and key in schema.nullable):
        return raw
    return read_field(raw, spec, cursor.within(key))


def _refuse_missing(section: Section, schema: Schema, cursor: Cursor) -> None:
    for key in schema.placeholders:
        if key not in section.members:
            summary = schema.specs[key].summary
            cursor.within(key).refuse('is missing', f'add the {summary}')
