"""The request path between callers and targets.

This package does the I/O; ``policy``, ``placement``, ``admission`` and
``discovery`` make the decisions.
"""

from goldcrestwharf.proxy._daemon import ProxyDaemon
from goldcrestwharf.proxy._factory import make_daemon
from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.proxy._pause import SuspendAwareEventLoop
from goldcrestwharf.proxy._rollout_exchange import RolloutExchange
from goldcrestwharf.proxy._rollout_statuses import DueStatus, RolloutStatuses
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.proxy._shutdown import stop_gracefully

__all__ = (
    'DueStatus',
    'HeaderNames',
    'ProxyDaemon',
    'ProxySettings',
    'RolloutExchange',
    'RolloutStatuses',
    'SuspendAwareEventLoop',
    'make_daemon',
    'stop_gracefully',
)
