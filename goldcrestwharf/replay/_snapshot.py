"""Hold one accepted configuration."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay._version import Version


@attrs.frozen(kw_only=True)
class Snapshot:
    """Hold one whole, accepted configuration; it never changes.

    ``digest`` is the hexadecimal digest of the objects.
    """

    version: Version
    digest: str
    objects: ObjectSet
