"""Format values of a document for messages."""

import json

from goldcrestwharf.documents._spec import FieldSpec
from goldcrestwharf.documents._tree import Section, UnsupportedNumber

_MAX_VALUE_CHARS = 60


def format_raw(raw: object, spec: FieldSpec) -> str:
    """Return ``raw`` as written, truncated; secrets stay hidden."""
    if isinstance(raw, Section):
        return 'an object'
    if isinstance(raw, (list, tuple)):
        return 'a list'
    if spec.is_secret:
        return 'a hidden value'
    return _truncate(_to_text(raw))


def format_unit(spec: FieldSpec) -> str:
    """Return the unit of a field after a space, or an empty string."""
    return f' {spec.unit}' if spec.unit else ''


def _to_text(raw: object) -> str:
    return (
        raw.written if isinstance(raw, UnsupportedNumber) else json.dumps(raw)
    )


def _truncate(text: str) -> str:
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    start = text[:_MAX_VALUE_CHARS]
    return f'{start}...'
