"""Render the reference table of a schema's fields."""

import json
from collections.abc import Iterator

import attrs

from goldcrestwharf.documents._format import format_unit
from goldcrestwharf.documents._schema import schema_of
from goldcrestwharf.documents._spec import FieldSpec, Shape

_TABLE_HEAD = (
    '| field | default | allowed | meaning |\n| --- | --- | --- | --- |'
)


def render_reference(schema: type) -> str:
    """Return a Markdown table of all fields, including those of sections."""
    return '\n'.join((_TABLE_HEAD, *_rows(schema, prefix='')))


def describe_allowed(spec: FieldSpec) -> str:
    """Return a description of the values that a field accepts."""
    bounds = f'{spec.low} to {spec.high}{format_unit(spec)}'
    if spec.shape is Shape.INTEGER:
        return f'whole number, {bounds}'
    if spec.shape is Shape.PERCENTS:
        return f'map from names to whole numbers, {bounds}'
    if spec.choices:
        return ', '.join(spec.choices)
    if spec.form or spec.pattern is None:
        return spec.form or spec.shape.value
    return f'text of the form {spec.pattern}'


def _rows(schema: type, prefix: str) -> Iterator[str]:
    fields = schema_of(schema)
    for name, spec in fields.specs.items():
        path = f'{prefix}{name}'
        if spec.shape is Shape.SECTION:
            yield from _rows(spec.schema, f'{path}.')
        else:
            yield _row(path, spec, fields.defaults[name])


def _row(path: str, spec: FieldSpec, default: object) -> str:
    allowed = describe_allowed(spec).replace('|', r'\|')
    rendered = _render_default(default)
    return f'| `{path}` | {rendered} | {allowed} | {spec.summary} |'


def _render_default(default: object) -> str:
    if default is attrs.NOTHING:
        return 'required'
    if default is None:
        return 'left out'
    literal = {} if callable(getattr(default, 'factory', None)) else default
    return f'`{json.dumps(literal)}`'
