"""Query of other zones for their version while no daemon of the zone reads."""

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet

#: Interval of the queries of a daemon, in seconds.
_QUERY_INTERVAL_S = 0.5


class ZoneQuery:
    """Periodic query of a random daemon of another zone.

    Versions cross zones in answers to pings alone, and streams with traffic
    aren't pinged for their silence.
    """

    def __init__(self, *, core: Core, fleet: Fleet) -> None:
        """Query the daemons of ``fleet``."""
        self._core = core
        self._fleet = fleet
        self._next_at = float('-inf')

    def check(self, now: float) -> None:
        """Ask if a query is due at ``now``, in monotonic seconds."""
        lacks_reader = self._core.reader_election.is_zone_without_reader
        if not lacks_reader or now < self._next_at:
            return
        self._next_at = now + _QUERY_INTERVAL_S
        links = [
            link
            for link in self._fleet.links.values()
            if link.is_up and not link.is_local_zone
        ]
        if links:
            link = self._core.rng.choice(links)
            link.liveness.request_ping()
            # Sends it without waiting for the next check of the streams.
            link.check(now)
