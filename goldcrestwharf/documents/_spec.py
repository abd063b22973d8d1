"""Describe what may stand in a field of a schema."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

_SPEC = 'goldcrestwharf.spec'


class Shape(enum.StrEnum):
    """Tell what kind of value a field holds."""

    INTEGER = 'whole number'
    TEXT = 'text'
    FLAG = 'true or false'
    TEXTS = 'list of texts'
    PERCENTS = 'map of percentages'
    SECTION = 'section'
    SECTIONS = 'map of sections'


@attrs.frozen(kw_only=True)
class FieldSpec:
    """Tell what may stand in a field.

    ``low`` and ``high`` bound a number, both inclusive, in ``unit``;
    ``pattern`` is a regular expression that a whole text has to match,
    ``form`` says the same for people, and
    ``choices`` are the texts allowed if there are any; both hold for each
    text of a list and each key of a map. ``schema`` is the class of a
    section and ``word`` what people call one section of a map. A text that
    ``is_secret`` is never shown.
    """

    summary: str
    shape: Shape = Shape.TEXT
    unit: str = ''
    low: int = 0
    high: int = 0
    pattern: str | None = None
    form: str = ''
    choices: tuple[str, ...] = ()
    schema: type = object
    word: str = ''
    is_secret: bool = False


def spec_of(attribute: 'attrs.Attribute[Any]') -> FieldSpec | None:
    """Return the specification of an attrs attribute, if it has one."""
    spec = attribute.metadata.get(_SPEC)
    return spec if isinstance(spec, FieldSpec) else None


def make_field(spec: FieldSpec, **options: Any) -> Any:
    """Return an attrs field that carries ``spec``."""
    return attrs.field(metadata=make_metadata(spec), **options)


def make_metadata(spec: FieldSpec) -> Mapping[str, FieldSpec]:
    """Return the metadata by which an attrs field carries ``spec``."""
    return {_SPEC: spec}
