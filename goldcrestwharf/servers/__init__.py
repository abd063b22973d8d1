"""Serve HTTP applications until they are told to stop."""

from goldcrestwharf.servers._http import HttpServer

__all__ = ('HttpServer',)
