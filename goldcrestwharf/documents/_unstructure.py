"""Convert models to JSON values."""

from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.documents._schema import schema_of

_MASK = '(hidden)'


def unstructure(model: attrs.AttrsInstance) -> dict[str, Any]:
    """Return all fields of a model as JSON values, with secrets masked."""
    specs = schema_of(type(model)).specs
    return {
        name: _MASK if spec.is_secret else _to_json_value(getattr(model, name))
        for name, spec in specs.items()
    }


def _to_json_value(part: Any) -> Any:
    if attrs.has(type(part)):
        return unstructure(part)
    if isinstance(part, Mapping):
        return {name: _to_json_value(member) for name, member in part.items()}
    return list(part) if isinstance(part, tuple) else part
