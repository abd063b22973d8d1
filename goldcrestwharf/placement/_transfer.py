"""Weigh what it costs to send a request to another availability zone."""

#: Share of a request's objective that it may wait longer in its own zone
#: rather than leave it: the part that every request has, and the part for
#: each kilobyte, since bytes between zones are charged.
_BASE_SHARE = 0.12
_SHARE_PER_KB = 0.13

#: Most of it: beyond, the answer would be late in the own zone.
_MOST_SHARE = 1.0

#: Bytes of heads that travel with each request and its answer.
_HEAD_BYTES = 600

_KB = 1024

#: Weight of one more request in the running mean of a kind's size.
_WEIGHT = 0.1

#: Kinds whose sizes are kept; further ones count as small.
_MAX_KINDS = 1024


class TransferCosts:
    """Learn how many bytes the requests of each kind move."""

    def __init__(self) -> None:
        """Hold all kinds for small."""
        self._sizes: dict[str, float] = {}

    def note(self, kind: str, size: int) -> None:
        """Take in the bytes of both bodies of a request."""
        known = self._sizes.get(kind)
        if known is not None:
            self._sizes[kind] = known + (size - known) * _WEIGHT
        elif len(self._sizes) < _MAX_KINDS:
            self._sizes[kind] = size

    def preference(self, kind: str) -> float:
        """Return the share of the objective that staying is worth."""
        size = self._sizes.get(kind, 0) + _HEAD_BYTES
        return min(_BASE_SHARE + size / _KB * _SHARE_PER_KB, _MOST_SHARE)
