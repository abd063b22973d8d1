"""Define the messages that carry configurations between daemons."""

import attrs

from goldcrestwharf.proxy._codec import message

#: Numbers on the wire.
_FETCH = 11
_DOCUMENT = 12
_NEWS = 15


@message(_FETCH)
@attrs.define(kw_only=True)
class Fetch:
    """Ask for the configuration in force if it is newer than ``version``."""

    version: int


@message(_DOCUMENT)
@attrs.define(kw_only=True)
class Document:
    """Carry a configuration, packed against version ``base``, zero for none."""

    version: int
    base: int
    packed: bytes


@message(_NEWS)
@attrs.define(kw_only=True)
class VersionNews:
    """Tell that another version is in force, or that the store is lost."""

    version: int
    reads_store: bool
