"""Join the packages into the one process that runs on each VM."""

from goldcrestwharf.daemon._daemon import Daemon

__all__ = ('Daemon',)
