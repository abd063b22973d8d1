"""Decide which configuration is in force from the records of the log."""

from goldcrestwharf.replay._holder import Holder
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version

__all__ = ('Holder', 'Snapshot', 'Version')
