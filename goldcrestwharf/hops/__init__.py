"""Forward requests from callers to targets and return the answers.

A daemon builds a :class:`HopsContext` and serves callers with the
:class:`CallerFrontend` that :func:`make_frontend` returns.
:func:`register_hops` lets the :class:`TargetDispatcher` of its VM handle
requests from its peers.
"""

from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._final import FinalAnswer, Outcome
from goldcrestwharf.hops._frontend import CallerFrontend
from goldcrestwharf.hops._h11_client import H11TargetClient
from goldcrestwharf.hops._make_frontend import make_frontend
from goldcrestwharf.hops._make_target_dispatcher import (
    make_target_dispatcher,
    register_hops,
)
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopReason,
    HopRefusal,
    HopRequest,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from goldcrestwharf.hops._target_dispatcher import TargetDispatcher

__all__ = (
    'CallerFrontend',
    'FinalAnswer',
    'H11TargetClient',
    'HopAnswer',
    'HopReason',
    'HopRefusal',
    'HopRequest',
    'HopUnknown',
    'HopsContext',
    'HopsSettings',
    'Outcome',
    'TargetAnswer',
    'TargetClient',
    'TargetDispatcher',
    'TargetRequest',
    'UnknownReason',
    'make_frontend',
    'make_target_dispatcher',
    'register_hops',
)
