"""Render a document with every field, its default and a comment."""

import json
from collections.abc import Iterator

import attrs

from goldcrestwharf.documents._reference import describe_allowed
from goldcrestwharf.documents._schema import schema_of
from goldcrestwharf.documents._spec import Shape

_INDENT = '  '


def render_commented(model: attrs.AttrsInstance) -> str:
    """Return the fields of ``model`` as a document with comments."""
    body = '\n'.join(_render(model, _INDENT))
    return f'{{\n{body}\n}}\n'


def _render(model: attrs.AttrsInstance, indent: str) -> Iterator[str]:
    for name, spec in schema_of(type(model)).specs.items():
        member = getattr(model, name)
        if spec.shape is Shape.SECTION:
            yield f'{indent}// {_sentence(spec.summary)}'
            yield f'{indent}"{name}": {{'
            yield from _render(member, indent + _INDENT)
            yield f'{indent}}},'
        else:
            allowed = describe_allowed(spec)
            yield f'{indent}// {_sentence(spec.summary)}'
            yield f'{indent}// Allowed: {allowed}.'
            yield f'{indent}"{name}": {json.dumps(member)},'


def _sentence(summary: str) -> str:
    first, rest = summary[0].upper(), summary[1:]
    return f'{first}{rest}.'
