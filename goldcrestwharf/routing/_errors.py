"""Define the errors of routing."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DanglingReferenceError(GoldcrestwharfError):
    """Report a route whose service is not in the set."""
