"""Exchange messages with other daemons over streams.

A daemon listens with :func:`serve_peers` and connects to others through a
:class:`PeerPool`. Packages register handlers of messages on
:class:`Handlers`. Both ends authenticate with the cluster key before any
message.
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
