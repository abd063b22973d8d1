"""Describe the fields of a schema: units, bounds and help texts."""

from typing import Any

import attrs

_SPEC = 'goldcrestwharf.spec'


@attrs.frozen(kw_only=True)
class FieldSpec:
    """Tell what may stand in a field.

    ``low`` and ``high`` bound a number, both inclusive, in ``unit``;
    ``pattern`` is a regular expression that a whole text has to match.
    """

    summary: str
    unit: str = ''
    low: int | None = None
    high: int | None = None
    pattern: str | None = None


def integer(
    default: Any = attrs.NOTHING,
    *,
    summary: str,
    low: int,
    high: int,
    unit: str = '',
) -> Any:
    """Return an attrs field for a whole number between two bounds."""
    spec = FieldSpec(summary=summary, unit=unit, low=low, high=high)
    return attrs.field(default=default, metadata={_SPEC: spec})


def text(
    default: Any = attrs.NOTHING,
    *,
    summary: str,
    pattern: str | None = None,
) -> Any:
    """Return an attrs field for a text."""
    spec = FieldSpec(summary=summary, pattern=pattern)
    return attrs.field(default=default, metadata={_SPEC: spec})


def spec_of(attribute: 'attrs.Attribute[Any]') -> FieldSpec | None:
    """Return the specification of an attrs attribute, if it has one."""
    spec = attribute.metadata.get(_SPEC)
    return spec if isinstance(spec, FieldSpec) else None
