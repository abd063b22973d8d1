"""Define what a replica does with the log."""

import enum


class ReplicaState(enum.StrEnum):
    """Tell what a replica does with the log.

    ``SEEKING`` looks for a checkpoint, ``NEEDS_PEERS`` found none and wants
    the highest snapshot of its peers, ``HALTED`` met rules of a later
    release, and ``LOG_REPLACED`` waits for an operator to start an epoch.
    """

    FOLLOWING = 'following'
    SEEKING = 'seeking'
    NEEDS_PEERS = 'needs-peers'
    HALTED = 'halted'
    LOG_REPLACED = 'log-replaced'
