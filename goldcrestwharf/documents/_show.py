"""Show in a message what was found in a document."""

import json

from goldcrestwharf.documents._spec import FieldSpec
from goldcrestwharf.documents._tree import OddNumber, Section

_MAX_SHOWN_CHARS = 60


def show(raw: object, spec: FieldSpec) -> str:
    """Return ``raw`` as it was written, cut short; secrets stay hidden."""
    if isinstance(raw, Section):
        return 'an object'
    if isinstance(raw, (list, tuple)):
        return 'a list'
    if spec.is_secret:
        return 'a hidden value'
    return _shorten(_write(raw))


def show_unit(spec: FieldSpec) -> str:
    """Return the unit of a field after a space, or nothing."""
    return f' {spec.unit}' if spec.unit else ''


def _write(raw: object) -> str:
    return raw.written if isinstance(raw, OddNumber) else json.dumps(raw)


def _shorten(written: str) -> str:
    if len(written) <= _MAX_SHOWN_CHARS:
        return written
    start = written[:_MAX_SHOWN_CHARS]
    return f'{start}...'
