"""Hold the streams between daemons.

A daemon listens with :func:`serve_peers` and reaches others through a
:class:`PeerPool`. Packages answer messages by registering functions on
:class:`Handlers`. Both ends prove the cluster key before any message.
"""

from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._handlers import Handler, Handlers
from goldcrestwharf.peers._hello import Credentials, Identity
from goldcrestwharf.peers._listener import PeerContext, serve_peers
from goldcrestwharf.peers._pool import PeerPool, Peers
from goldcrestwharf.peers._settings import PeerSettings

__all__ = (
    'Credentials',
    'Handler',
    'Handlers',
    'Identity',
    'PeerConn',
    'PeerContext',
    'PeerPool',
    'PeerSettings',
    'Peers',
    'serve_peers',
)
