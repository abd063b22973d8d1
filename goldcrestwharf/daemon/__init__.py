"""The daemon process that runs on each VM, composed of the packages."""

from goldcrestwharf.daemon._daemon import Daemon

__all__ = ('Daemon',)
