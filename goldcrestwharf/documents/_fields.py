"""Functions that define the fields of a schema."""

from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.documents._spec import (
    FieldSpec,
    Shape,
    make_field,
    make_metadata,
)


def integer(
    default: Any = attrs.NOTHING,
    *,
    summary: str,
    low: int,
    high: int,
    unit: str = '',
) -> Any:
    """Return an attrs field for an integer between two inclusive bounds."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.INTEGER,
        unit=unit,
        low=low,
        high=high,
    )
    return make_field(spec, default=default)


def text(
    default: Any = attrs.NOTHING,
    *,
    summary: str,
    pattern: str | None = None,
    form: str = '',
    choices: tuple[str, ...] = (),
) -> Any:
    """Return an attrs field for a string."""
    spec = FieldSpec(
        summary=summary,
        pattern=pattern,
        form=form,
        choices=choices,
    )
    return make_field(spec, default=default)


def secret(default: Any = attrs.NOTHING, *, summary: str) -> Any:
    """Return an attrs field for a string that is never shown or logged."""
    spec = FieldSpec(summary=summary, is_secret=True)
    return make_field(spec, default=default, repr=False)


def flag(default: Any = attrs.NOTHING, *, summary: str) -> Any:
    """Return an attrs field for a boolean; it may be ``None`` by default."""
    spec = FieldSpec(summary=summary, shape=Shape.FLAG)
    return make_field(spec, default=default)


def texts(
    *,
    summary: str,
    pattern: str | None = None,
    form: str = '',
    choices: tuple[str, ...] = (),
) -> Any:
    """Return an attrs field for a list of strings, empty by default."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.TEXTS,
        pattern=pattern,
        form=form,
        choices=choices,
    )
    return make_field(spec, default=())


def percents(*, summary: str) -> Any:
    """Return an attrs field for a map from names to integer percentages."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.PERCENTS,
        unit='%',
        low=0,
        high=100,
    )
    return make_field(spec, factory=dict)


def section(schema: type, *, summary: str) -> Mapping[str, FieldSpec]:
    """Return the metadata of an attrs field that holds a section.

    The field also needs a ``factory``, so that the section is optional.
    """
    spec = FieldSpec(summary=summary, shape=Shape.SECTION, schema=schema)
    return make_metadata(spec)


def sections(schema: type, *, summary: str, kind: str) -> Any:
    """Return an attrs field for a map from names to sections."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.SECTIONS,
        schema=schema,
        kind=kind,
    )
    return make_field(spec, factory=dict)
