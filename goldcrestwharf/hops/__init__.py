"""Carry requests from callers to targets and the answers back.

A daemon fills a :class:`HopsContext`, serves the :class:`CallerFront` that
:func:`make_front` returns to callers, and lets :func:`register_hops` answer
other daemons with the :class:`TargetSide` of its VM.
"""

from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._final import FinalAnswer, Outcome
from goldcrestwharf.hops._front import CallerFront
from goldcrestwharf.hops._h11_client import H11TargetClient
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
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.hops._wire_front import make_front
from goldcrestwharf.hops._wire_target import make_target_side, register_hops

__all__ = (
    'CallerFront',
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
    'TargetRequest',
    'TargetSide',
    'UnknownReason',
    'make_front',
    'make_target_side',
    'register_hops',
)
