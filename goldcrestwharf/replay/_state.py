"""Define the states of a replica."""

import enum


class ReplicaState(enum.StrEnum):
    """The state of a replica relative to the log.

    ``SEEKING`` searches for a checkpoint, ``NEEDS_PEERS`` found none and
    needs the highest snapshot of its peers, ``HALTED`` read a record under
    rules of a later release, and ``LOG_REPLACED`` waits for an operator to
    start an epoch.
    """

    FOLLOWING = 'following'
    SEEKING = 'seeking'
    NEEDS_PEERS = 'needs-peers'
    HALTED = 'halted'
    LOG_REPLACED = 'log-replaced'
