"""Serve HTTP applications until they are told to stop."""

from goldcrestwharf.servers._edge import EdgeServer
from goldcrestwharf.servers._http import HttpServer

__all__ = ('EdgeServer', 'HttpServer')
