"""Bounds that all connections of callers share."""

import math

import attrs

from goldcrestwharf.http1._conn_limit import ConnLimit, find_max_conns
from goldcrestwharf.http1._read_turns import ReadTurns
from goldcrestwharf.transfers import CallerMemory


@attrs.frozen(kw_only=True)
class CallerBounds:
    """What the connections of all listeners of a process share.

    These are the memory that they take, their number, and the turns of those
    whose requests take long to parse.
    """

    memory: CallerMemory = attrs.field(factory=CallerMemory)
    conns: ConnLimit = attrs.field(factory=ConnLimit)
    turns: ReadTurns = attrs.field(factory=ReadTurns)


def make_caller_bounds(
    *, memory_bytes: float = math.inf, max_fds: int | None = None
) -> CallerBounds:
    """Return bounds for a process with these limits.

    ``max_fds`` is the number of its descriptors, by default that of the
    system.
    """
    return CallerBounds(
        memory=CallerMemory(memory_bytes=memory_bytes),
        conns=ConnLimit(max_conns=find_max_conns(max_fds)),
    )
