"""Readers for sections and maps of sections.

A section with problems is still read, with defaults in place of the invalid
fields, so that later checks can report on the rest.
"""

from collections.abc import Iterator
from typing import Any, TypeVar

from goldcrestwharf.documents._cursor import (
    INVALID,
    Cursor,
    refuse_duplicate_keys,
)
from goldcrestwharf.documents._format import format_raw
from goldcrestwharf.documents._problem import Place
from goldcrestwharf.documents._read_scalars import is_trivially_valid
from goldcrestwharf.documents._registry import read_field, register_reader
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._spec import FieldSpec, Shape
from goldcrestwharf.documents._tree import Section

_ModelT = TypeVar('_ModelT')


def read_model(
    section: Section,
    model: type[_ModelT],
    cursor: Cursor,
) -> _ModelT:
    """Return a model with the valid fields of a section."""
    schema = _schema_for(model)
    refuse_duplicate_keys(section, cursor)
    checked: dict[str, Any] = {}
    for key, raw in section.members.items():
        member = _read_member(key, raw, schema, cursor)
        if member is not INVALID:
            checked[key] = member
    _refuse_missing(section, schema, cursor)
    return model(**{**schema.placeholders, **checked})


@register_reader(Shape.SECTION)
def read_section(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a section."""
    if isinstance(raw, Section):
        return read_model(raw, spec.schema, cursor)
    cursor.refuse(
        f'is {format_raw(raw, spec)}, not an object', 'write it in braces'
    )
    return spec.schema(**schema_of(spec.schema).placeholders)


@register_reader(Shape.SECTIONS)
def read_sections(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Read a map from names to sections."""
    if not isinstance(raw, Section):
        return cursor.refuse(
            f'is {format_raw(raw, spec)}, not an object',
            f'write each {spec.kind} as "name": {{...}} in braces',
        )
    sections: dict[str, object] = {}
    for key in raw.duplicate_keys:
        inner = _cursor_at(cursor, spec, key)
        inner.refuse('is in the document more than once', 'keep one of them')
    for name, member in _list_members(raw):
        sections[name] = read_section(
            member, spec, _cursor_at(cursor, spec, name)
        )
    return sections


def _list_members(section: Section) -> Iterator[tuple[str, object]]:
    yield from section.duplicate_members
    for name, member in section.members.items():
        if name not in section.duplicate_keys:
            yield name, member


def _schema_for(model: type) -> Schema:
    return schema_of(model)


def _cursor_at(cursor: Cursor, spec: FieldSpec, name: str) -> Cursor:
    return Cursor(cursor.report, Place(kind=spec.kind, name=name))


def _read_member(
    key: str,
    raw: object,
    schema: Schema,
    cursor: Cursor,
) -> object:
    spec = schema.specs.get(key)
    if spec is None:
        return cursor.within(key).refuse(
            'is not a known field', schema.make_remedy(key)
        )
    if is_trivially_valid(raw, spec) or (
        raw is None and key in schema.nullable
    ):
        return raw
    return read_field(raw, spec, cursor.within(key))


def _refuse_missing(section: Section, schema: Schema, cursor: Cursor) -> None:
    for key in schema.placeholders:
        if key not in section.members:
            summary = schema.specs[key].summary
            cursor.within(key).refuse('is missing', f'add the {summary}')
