"""Speak HTTP/1.1 on both edges with little processor time.

The framing is checked by the parser of httptools, strictly.
"""

from goldcrestwharf.http1._caller_conn import Handler
from goldcrestwharf.http1._client_conn import (
    ClientConn,
    ExchangeError,
    connect,
)
from goldcrestwharf.http1._headers import render_passed_on
from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import (
    Answer,
    Headers,
    Request,
    Response,
)
from goldcrestwharf.http1._server import HttpListener, bind_listener

__all__ = (
    'Answer',
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
    'render_passed_on',
)
