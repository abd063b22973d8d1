"""Messages that carry configurations between daemons."""

import attrs

from goldcrestwharf.proxy._codec import message

#: Message numbers; they must not change.
_FETCH = 11
_DOCUMENT = 12
_VERSION_UPDATE = 15


@message(_FETCH)
@attrs.define(kw_only=True)
class Fetch:
    """Request for the current configuration if it is above ``version``."""

    version: int


@message(_DOCUMENT)
@attrs.define(kw_only=True)
class Document:
    """Configuration compressed against version ``base``, zero for none."""

    version: int
    base: int
    packed: bytes


@message(_VERSION_UPDATE)
@attrs.define(kw_only=True)
class VersionUpdate:
    """Change of the sender's version, or of what it knows of the store.

    ``store_epoch`` is zero if the sender knows none.
    """

    version: int
    reads_store: bool
    store_epoch: int = 0
