"""Errors of routing."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DanglingReferenceError(GoldcrestwharfError):
    """A route refers to a service that is not in the object set."""
