"""How callers use their connections in a run of planned stops."""

import enum


class Traffic(enum.StrEnum):
    """What callers send."""

    SINGLE = 'single'
    PIPELINED = 'pipelined'
    MALFORMED = 'malformed'
    OVERSIZED = 'oversized'
    HALVES = 'halves'
    LARGE = 'large'
    SHORT = 'short'
    IDLE = 'idle'
    BRIEF = 'brief'
    NESTED = 'nested'


#: Kinds of traffic that need the bytes on the connection.
RAW_TRAFFIC = frozenset(
    (
        Traffic.PIPELINED,
        Traffic.MALFORMED,
        Traffic.OVERSIZED,
        Traffic.HALVES,
        Traffic.LARGE,
    )
)

#: Bodies above this size are refused.
MAX_BODY_BYTES = 100_000
