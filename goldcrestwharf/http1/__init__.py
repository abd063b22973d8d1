"""HTTP/1.1 server for callers and client for targets, with low CPU use.

Messages are parsed by httptools in its strict mode, which rejects ambiguous
framing.
"""

from goldcrestwharf.http1._caller_bounds import (
    CallerBounds,
    make_caller_bounds,
)
from goldcrestwharf.http1._client_conn import (
    ClientConn,
    ExchangeError,
)
from goldcrestwharf.http1._connecting import connect
from goldcrestwharf.http1._headers import render_end_to_end
from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._listener_state import Handler
from goldcrestwharf.http1._messages import (
    Answer,
    Headers,
    Request,
    Response,
)
from goldcrestwharf.http1._server import HttpListener, bind_listener

__all__ = (
    'Answer',
    'CallerBounds',
    'CallerLimits',
    'ClientConn',
    'ExchangeError',
    'Handler',
    'Headers',
    'HttpListener',
    'Request',
    'Response',
    'bind_listener',
    'connect',
    'make_caller_bounds',
    'render_end_to_end',
)
