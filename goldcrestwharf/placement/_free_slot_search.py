"""Search for a free slot before a request waits in a queue.

What an entry knows of a target is older than most requests to it. A target
that has no free slot refuses such a try at once, at the cost of a round trip,
and its refusal brings a fresh report. Trying a few targets so finds room that
the reports don't show, and doesn't fill the queue of one target while another
one is idle.
"""

import attrs

#: Tries that take a free slot only. More of them found little more room in a
#: model of four zones at 0.85 of the slots, and under overload each refused
#: request costs all of them.
_MAX_TRIES = 3

#: Fraction of its objective that a request may spend on the search. Tries
#: across busy links take longer than usual.
_MAX_TIME_FRACTION = 0.1


@attrs.frozen(kw_only=True)
class FreeSlotSearch:
    """State of the search for one request.

    ``tries`` counts the targets that had no free slot. ``elapsed`` and
    ``objective`` are in seconds.
    """

    tries: int
    elapsed: float
    objective: float

    @property
    def is_over(self) -> bool:
        """Return whether the request should rather wait in a queue now."""
        is_late = self.elapsed > self.objective * _MAX_TIME_FRACTION
        return is_late or self.tries >= _MAX_TRIES
