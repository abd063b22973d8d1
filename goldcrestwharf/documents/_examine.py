"""Hold a model that didn't come from a document against its schema."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._problem import Place, Problems
from goldcrestwharf.documents._read_scalars import is_plain
from goldcrestwharf.documents._registry import read_field
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._spec import FieldSpec


def examine(model: attrs.AttrsInstance, place: Place) -> Problems:
    """Return the problems of the fields that differ from their default.

    The model's own sections are left out.
    """
    odd = _find_odd(model, schema_of(type(model)))
    if not odd:
        return ()
    report = Report()
    cursor = Cursor(report, place)
    for name, spec in odd.items():
        read_field(getattr(model, name), spec, cursor.within(name))
    return report.problems


def _find_odd(
    model: attrs.AttrsInstance,
    schema: Schema,
) -> Mapping[str, FieldSpec]:
    changed = {
        name: spec
        for name, spec in schema.scalars.items()
        if getattr(model, name) is not schema.defaults[name]
    }
    return {
        name: spec
        for name, spec in changed.items()
        if not is_plain(getattr(model, name), spec)
    }
