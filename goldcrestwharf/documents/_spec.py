"""The specification of a schema's field."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

_SPEC_METADATA_KEY = 'goldcrestwharf.spec'


class Shape(enum.StrEnum):
    """The type of a field's value."""

    INTEGER = 'whole number'
    TEXT = 'text'
    FLAG = 'true or false'
    TEXTS = 'list of texts'
    PERCENTS = 'map of percentages'
    SECTION = 'section'
    SECTIONS = 'map of sections'


@attrs.frozen(kw_only=True)
class FieldSpec:
    """The values that a field accepts.

    ``low`` and ``high`` are inclusive bounds of a number, in ``unit``.
    ``pattern`` is a regular expression that a whole string has to match and
    ``form`` describes it in messages. ``choices``, unless empty, are the
    accepted strings. Both apply to each string of a list and each key of a
    map. ``schema`` is the class of a section and ``kind`` the kind of the
    objects in a map of sections. A string that ``is_secret`` is never shown.
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
    kind: str = ''
    is_secret: bool = False


def spec_of(attribute: 'attrs.Attribute[Any]') -> FieldSpec | None:
    """Return the specification of an attrs attribute, if it has one."""
    spec = attribute.metadata.get(_SPEC_METADATA_KEY)
    return spec if isinstance(spec, FieldSpec) else None


def make_field(spec: FieldSpec, **options: Any) -> Any:
    """Return an attrs field with the specification ``spec``."""
    return attrs.field(metadata=make_metadata(spec), **options)


def make_metadata(spec: FieldSpec) -> Mapping[str, FieldSpec]:
    """Return the attrs metadata that holds ``spec``."""
    return {_SPEC_METADATA_KEY: spec}
