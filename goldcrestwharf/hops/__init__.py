"""Carry requests from callers to targets and the answers back.

A daemon serves a :class:`CallerFront` to callers, and a :class:`TargetSide`
runs what other daemons and itself send to the targets of its VM.
"""

from goldcrestwharf.hops._final import FinalAnswer, Outcome
from goldcrestwharf.hops._forwarder import Forwarder
from goldcrestwharf.hops._front import CallerFront
from goldcrestwharf.hops._h11_client import H11TargetClient
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopRefusal,
    HopRequest,
    HopUnknown,
    RefusalReason,
    UnknownReason,
)
from goldcrestwharf.hops._routes import Routes
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.hops._wiring import register_hops

__all__ = (
    'CallerFront',
    'FinalAnswer',
    'Forwarder',
    'H11TargetClient',
    'HopAnswer',
    'HopRefusal',
    'HopRequest',
    'HopUnknown',
    'HopsSettings',
    'Outcome',
    'RefusalReason',
    'Routes',
    'Sender',
    'TargetAnswer',
    'TargetClient',
    'TargetRequest',
    'TargetSide',
    'UnknownReason',
    'register_hops',
)
