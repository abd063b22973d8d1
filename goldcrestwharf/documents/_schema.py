"""The schema that an attrs class defines."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.documents._spec import FieldSpec, Shape, spec_of
from goldcrestwharf.documents._suggest import Suggester

_NESTED = frozenset((Shape.SECTION, Shape.SECTIONS))


@attrs.frozen(kw_only=True)
class Schema:
    """The specification and default of each field, by field name.

    The default of a required field is ``attrs.NOTHING``. ``scalars`` are the
    fields that aren't sections. ``placeholders`` are the values that replace
    missing required fields while the rest of the document is checked.
    ``nullable`` are the fields that may be ``null``.
    """

    specs: Mapping[str, FieldSpec]
    defaults: Mapping[str, object]
    scalars: Mapping[str, FieldSpec] = attrs.field(init=False)
    placeholders: Mapping[str, object] = attrs.field(init=False)
    nullable: frozenset[str] = attrs.field(init=False)

    def make_remedy(self, name: str) -> str:
        """Return the remedy for the unknown field ``name``."""
        known = ', '.join(self.specs)
        suggester = Suggester(names=self.specs)
        return suggester.remedy(name, f'the fields are {known}')

    @scalars.default
    def _find_scalars(self) -> Mapping[str, FieldSpec]:
        return {
            name: spec
            for name, spec in self.specs.items()
            if spec.shape not in _NESTED
        }

    @placeholders.default
    def _make_placeholders(self) -> Mapping[str, object]:
        return {
            name: _make_placeholder(self.specs[name])
            for name, default in self.defaults.items()
            if default is attrs.NOTHING
        }

    @nullable.default
    def _find_nullable(self) -> frozenset[str]:
        return frozenset(
            name for name, default in self.defaults.items() if default is None
        )


@functools.cache
def schema_of(model: type) -> Schema:
    """Return the schema that an attrs class defines.

    Raises ``TypeError`` for a field that has no specification.
    """
    attributes: tuple[attrs.Attribute[Any], ...] = attrs.fields(model)
    return Schema(
        specs={each.name: _require_spec(each) for each in attributes},
        defaults={each.name: each.default for each in attributes},
    )


def _require_spec(attribute: 'attrs.Attribute[Any]') -> FieldSpec:
    spec = spec_of(attribute)
    if spec is None:
        raise TypeError(f'field {attribute.name} has no specification')
    return spec


def _make_placeholder(spec: FieldSpec) -> object:
    return spec.low if spec.shape is Shape.INTEGER else ''
