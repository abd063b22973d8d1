"""Turn models into plain JSON values for people and programs to read."""

from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.documents._schema import schema_of

_HIDDEN = '(hidden)'


def unstructure(model: attrs.AttrsInstance) -> dict[str, Any]:
    """Return all fields of a model as JSON values; secrets are hidden."""
    specs = schema_of(type(model)).specs
    return {
        name: _HIDDEN if spec.is_secret else _plain(getattr(model, name))
        for name, spec in specs.items()
    }


def _plain(found: Any) -> Any:
    if attrs.has(type(found)):
        return unstructure(found)
    if isinstance(found, Mapping):
        return {name: _plain(part) for name, part in found.items()}
    return list(found) if isinstance(found, tuple) else found
