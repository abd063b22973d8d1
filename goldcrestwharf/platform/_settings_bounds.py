"""Decode the bounds and limits in the settings file."""

import math
from collections.abc import Mapping
from typing import Any

from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.platform._fields import get_number
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_duration,
)
from goldcrestwharf.rollouts import RolloutTerms

_BITS_PER_MBIT = 1_000_000
_BITS_PER_BYTE = 8

_BYTES_PER_MB = 1_000_000


def decode_link_rate(document: Mapping[str, Any]) -> float:
    """Return bytes per second; the file has megabits per second."""
    mbits = find_positive(document.get('limits'), 'link_mbps')
    if mbits is None:
        return math.inf
    return mbits * _BITS_PER_MBIT / _BITS_PER_BYTE


def decode_memory(document: Mapping[str, Any]) -> float:
    """Return the memory in bytes, infinite if it is not limited."""
    megabytes = find_positive(document.get('limits'), 'memory_mb')
    return math.inf if megabytes is None else megabytes * _BYTES_PER_MB


def decode_max_fds(document: Mapping[str, Any]) -> int | None:
    """Return the number of descriptors, ``None`` if it is not limited."""
    max_fds = find_positive(document.get('limits'), 'max_fds')
    return None if max_fds is None else int(max_fds)


def find_positive(table: object, name: str) -> float | None:
    """Return a positive number of a table, ``None`` if it has none."""
    if not isinstance(table, Mapping):
        return None
    try:
        number = get_number(table, name)
    except PlatformFormatError:
        return None
    return number if number > 0 else None


def decode_budget(bounds: Mapping[str, Any]) -> RetryBudgetTerms:
    """Return the bounds of repeats."""
    return RetryBudgetTerms(
        ratio=get_number(bounds, 'retry_budget_ratio'),
        slack=get_number(bounds, 'budget_slack'),
        window=parse_duration(bounds.get('budget_window')),
    )


def decode_rollout(bounds: Mapping[str, Any]) -> RolloutTerms:
    """Return the bounds of roll-outs; missing ones have their defaults."""
    terms = RolloutTerms()
    return RolloutTerms(
        expose_share=get_number(bounds, 'expose_share', terms.expose_share),
        expose_slack=get_number(bounds, 'expose_slack', terms.expose_slack),
        rollback=parse_duration(bounds.get('rollback', f'{terms.rollback}s')),
    )
