"""Define the errors of encoded sets, deltas and rules."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DeltaError(GoldcrestwharfError):
    """Report a delta that doesn't fit the set it is applied to."""


@attrs.define(kw_only=True)
class ObjectsFormatError(GoldcrestwharfError):
    """Report bytes that are not an encoded set or delta."""


@attrs.define(kw_only=True)
class UnknownRulesError(GoldcrestwharfError):
    """Report a revision of the rules that this release doesn't know."""
