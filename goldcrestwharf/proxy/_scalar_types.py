"""Checks of received texts, numbers and flags."""

import math
from collections.abc import Callable
from types import MappingProxyType, NoneType
from typing import Any

#: Returns whether a value has the declared type of its field.
Check = Callable[[Any], bool]

#: Greatest size of an integer. A count or time above it is a defect, and could
#: not be sent on once something is added.
_MAX_INT = 2**60


def _is_int(found: Any) -> bool:
    if not isinstance(found, int) or found.__class__ is bool:
        return False
    return -_MAX_INT < found < _MAX_INT


def _is_number(found: object) -> bool:
    return _is_int(found) or (isinstance(found, float) and math.isfinite(found))


def _is_text(found: object) -> bool:
    return found.__class__ is str


def _is_bytes(found: object) -> bool:
    return found.__class__ is bytes


def _is_flag(found: object) -> bool:
    return found.__class__ is bool


def _is_none(found: object) -> bool:
    return found is None


#: Checks by the type in the annotation of a field.
SCALARS = MappingProxyType(
    {
        int: _is_int,
        float: _is_number,
        str: _is_text,
        bytes: _is_bytes,
        bool: _is_flag,
        NoneType: _is_none,
    }
)
