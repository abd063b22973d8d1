"""Define the errors of encoded sets, deltas and rules."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DeltaError(GoldcrestwharfError):
    """A delta doesn't apply to the given set."""


@attrs.define(kw_only=True)
class ObjectsFormatError(GoldcrestwharfError):
    """The bytes are not an encoded set or delta."""


@attrs.define(kw_only=True)
class UnknownRulesError(GoldcrestwharfError):
    """The revision of the rules is unknown to this release."""
