"""Describe the fields of a schema for people."""

import json
from collections.abc import Iterator

import attrs

from goldcrestwharf.documents._schema import schema_of
from goldcrestwharf.documents._show import show_unit
from goldcrestwharf.documents._spec import FieldSpec, Shape

_HEAD = '| field | default | allowed | meaning |\n| --- | --- | --- | --- |'


def render_reference(schema: type) -> str:
    """Return a Markdown table of all fields, those of sections included."""
    return '\n'.join((_HEAD, *_rows(schema, prefix='')))


def describe_allowed(spec: FieldSpec) -> str:
    """Return what may stand in a field, with its unit."""
    bounds = f'{spec.low} to {spec.high}{show_unit(spec)}'
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
    described = schema_of(schema)
    for name, spec in described.specs.items():
        path = f'{prefix}{name}'
        if spec.shape is Shape.SECTION:
            yield from _rows(spec.schema, f'{path}.')
        else:
            yield _row(path, spec, described.defaults[name])


def _row(path: str, spec: FieldSpec, default: object) -> str:
    allowed = describe_allowed(spec).replace('|', r'\|')
    written = _write_default(default)
    return f'| `{path}` | {written} | {allowed} | {spec.summary} |'


def _write_default(default: object) -> str:
    if default is attrs.NOTHING:
        return 'required'
    if default is None:
        return 'left out'
    plain = {} if callable(getattr(default, 'factory', None)) else default
    return f'`{json.dumps(plain)}`'
