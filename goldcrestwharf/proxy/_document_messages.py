"""Define the messages that carry configurations between daemons."""

import attrs

from goldcrestwharf.proxy._codec import message

#: Numbers on the wire.
_FETCH = 11
_DOCUMENT = 12


@message(_FETCH)
@attrs.define(kw_only=True)
class Fetch:
    """Ask for the configuration in force if it is newer than ``version``."""

    version: int


@message(_DOCUMENT)
@attrs.define(kw_only=True)
class Document:
    """Carry a configuration as it came from the store."""

    version: int
    document: bytes
