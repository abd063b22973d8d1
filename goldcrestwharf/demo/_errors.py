"""The error that ends a demo."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DemoError(GoldcrestwharfError):
    """The mesh didn't reach the state that the demo waited for."""
