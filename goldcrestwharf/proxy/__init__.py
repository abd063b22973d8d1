"""Carry requests between callers and targets.

The input and output around the decisions of ``policy``, ``placement``,
``admission`` and ``discovery``.
"""

from goldcrestwharf.proxy._daemon import ProxyDaemon
from goldcrestwharf.proxy._dialect import HeaderNames
from goldcrestwharf.proxy._opening import make_daemon
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.proxy._stop import stop_gracefully

__all__ = (
    'HeaderNames',
    'ProxyDaemon',
    'ProxySettings',
    'make_daemon',
    'stop_gracefully',
)
