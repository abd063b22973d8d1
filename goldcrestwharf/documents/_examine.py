"""Hold a model that didn't come from a document against its schema."""

import attrs

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._problem import Place, Problems
from goldcrestwharf.documents._registry import read_field
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._schema import schema_of


def examine(model: attrs.AttrsInstance, place: Place) -> Problems:
    """Return the problems of the fields that differ from their default.

    The model's own sections are left out.
    """
    report = Report()
    cursor = Cursor(report, place)
    schema = schema_of(type(model))
    for name, spec in schema.scalars.items():
        if getattr(model, name) != schema.defaults[name]:
            read_field(getattr(model, name), spec, cursor.within(name))
    return report.problems
