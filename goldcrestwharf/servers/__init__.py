"""HTTP servers of ASGI applications that stop gracefully."""

from goldcrestwharf.servers._edge import EdgeServer
from goldcrestwharf.servers._http import HttpServer

__all__ = ('EdgeServer', 'HttpServer')
