"""Define why a demo can't go on."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


@attrs.define(kw_only=True)
class DemoError(GoldcrestwharfError):
    """Report that the mesh under the demo doesn't do its part."""
