"""Optional exchanges of messages that a daemon announces in its hello."""

import enum


class PeerFeature(enum.IntFlag):
    """Optional exchanges; a daemon uses those that both ends support."""

    QUOTAS = 1
    BODY_PIECES = 2
    ROLLOUTS = 4


#: All exchanges that this release supports.
ALL_FEATURES = int(
    PeerFeature.QUOTAS | PeerFeature.BODY_PIECES | PeerFeature.ROLLOUTS,
)
