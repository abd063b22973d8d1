"""Define an accepted configuration."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay._version import Version

_FIRST_RULES = 1


@attrs.frozen(kw_only=True)
class Snapshot:
    """A whole, accepted configuration; immutable.

    ``digest`` is the hexadecimal digest of the objects and ``rules`` the
    revision of the rules under which they were accepted. ``log_id`` is the
    identity of the log that created it, empty if it is not known.
    """

    version: Version
    digest: str
    objects: ObjectSet
    rules: int = _FIRST_RULES
    log_id: str = attrs.field(default='', eq=False)
