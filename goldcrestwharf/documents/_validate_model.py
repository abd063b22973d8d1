"""Validate a model that wasn't read from a document."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._problem import Place, Problems
from goldcrestwharf.documents._read_scalars import is_trivially_valid
from goldcrestwharf.documents._registry import read_field
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._spec import FieldSpec


def validate_model(model: attrs.AttrsInstance, place: Place) -> Problems:
    """Return the problems of the fields that differ from their default.

    Nested sections are not validated.
    """
    unverified = _find_unverified(model, schema_of(type(model)))
    if not unverified:
        return ()
    report = Report()
    cursor = Cursor(report, place)
    for name, spec in unverified.items():
        read_field(getattr(model, name), spec, cursor.within(name))
    return report.problems


def _find_unverified(
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
        if not is_trivially_valid(getattr(model, name), spec)
    }
