"""Make the fields of a schema, with units, bounds and help texts."""

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
    """Return an attrs field for a whole number between two bounds."""
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
    """Return an attrs field for a text."""
    spec = FieldSpec(
        summary=summary,
        pattern=pattern,
        form=form,
        choices=choices,
    )
    return make_field(spec, default=default)


def secret(default: Any = attrs.NOTHING, *, summary: str) -> Any:
    """Return an attrs field for a text that is never shown or logged."""
    spec = FieldSpec(summary=summary, is_secret=True)
    return make_field(spec, default=default, repr=False)


def flag(default: Any = attrs.NOTHING, *, summary: str) -> Any:
    """Return an attrs field for ``true``, ``false`` or, by default, none."""
    spec = FieldSpec(summary=summary, shape=Shape.FLAG)
    return make_field(spec, default=default)


def texts(
    *,
    summary: str,
    pattern: str | None = None,
    form: str = '',
    choices: tuple[str, ...] = (),
) -> Any:
    """Return an attrs field for a list of texts, empty by default."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.TEXTS,
        pattern=pattern,
        form=form,
        choices=choices,
    )
    return make_field(spec, default=())


def percents(*, summary: str) -> Any:
    """Return an attrs field for a map from names to whole percentages."""
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

    It goes with a ``factory``, so that the section may be left out.
    """
    spec = FieldSpec(summary=summary, shape=Shape.SECTION, schema=schema)
    return make_metadata(spec)


def sections(schema: type, *, summary: str, word: str) -> Any:
    """Return an attrs field for a map from names to sections."""
    spec = FieldSpec(
        summary=summary,
        shape=Shape.SECTIONS,
        schema=schema,
        word=word,
    )
    return make_field(spec, factory=dict)
