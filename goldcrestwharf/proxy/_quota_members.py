"""Daemons that may hold the accounts of workspaces, as seen by this one."""

import itertools
from collections.abc import Callable, Iterator, Mapping

from goldcrestwharf.discovery import Directory
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._link import PeerLink
from goldcrestwharf.quotas import Reach, RendezvousOrder

#: Seconds after the start in which a daemon may not have discovered the
#: others yet.
_DISCOVERY_S = 2.0

#: Seconds without a new daemon after which the discovery counts as complete.
_SETTLED_S = 0.5

#: Seconds for which a daemon that left a request without an answer is passed
#: over. Its link turns suspect within that time if it doesn't run.
_AVOIDANCE_S = 1.0

#: Seconds for which the number of reachable daemons is used again.
_REACH_LIFETIME_S = 0.02

#: Most daemons that are told of the tokens granted in their place.
_MAX_PRECEDING = 4

#: Least time between two rounds of pings, in seconds.
_PING_INTERVAL_S = 1.0


class QuotaMembers:
    """View of the daemons; implements ``quotas.MemberView``."""

    def __init__(
        self, *, directory: Directory, clock: Callable[[], float]
    ) -> None:
        """Start without links; :attr:`links` is set when there are some."""
        self.links: Mapping[str, PeerLink] = {}
        self._directory = directory
        self._clock = clock
        self._order = RendezvousOrder(
            list_names=lambda: _list_names(directory),
            find_epoch=lambda: directory.digest,
        )
        self._started_at = clock()
        self._grown_at = self._started_at
        self._reach = Reach(reached=1, known=0)
        self._counted_at = -_REACH_LIFETIME_S
        self._avoided_until: dict[str, float] = {}
        self._pinged_at = self._started_at

    def find_reach(self) -> Reach:
        """Return the number of daemons reached and known."""
        now = self._clock()
        if now - self._counted_at >= _REACH_LIFETIME_S:
            reached = 1 + sum(map(_is_reached, self.links.values()))
            known = self._directory.max_known
            if known > self._reach.known:
                self._grown_at = now
            self._reach = Reach(reached=reached, known=known)
            self._counted_at = now
        return self._reach

    def is_first(self, workspace: str) -> bool:
        """Return whether this daemon is the first one that it reaches."""
        return not self.list_preceding(workspace)

    def list_preceding(self, workspace: str) -> tuple[str, ...]:
        """Return the first reachable daemons that come before this one."""
        local = self._directory.local.name
        preceding = itertools.takewhile(
            local.__ne__, self._order.rank(workspace)
        )
        usable = filter(self._is_usable, preceding)
        return tuple(itertools.islice(usable, _MAX_PRECEDING))

    def may_hold(self) -> bool:
        """Return whether this daemon knows enough to hold accounts.

        Members that discover each other one by one would each take the few
        that they know for all.
        """
        now = self._clock()
        if now - self._started_at >= _DISCOVERY_S:
            return True
        reach = self.find_reach()
        return reach.reached > 1 and now - self._grown_at >= _SETTLED_S

    def coordinators(self, workspace: str) -> Iterator[str]:
        """Yield the daemons to ask for tokens, in order."""
        local = self._directory.local.name
        for name in self._order.rank(workspace):
            if name == local:
                yield local
            elif self._is_usable(name) and not self.is_avoided(name):
                yield name
        yield local

    def avoid(self, name: str) -> None:
        """Pass over a daemon that left a request without an answer."""
        self._avoided_until[name] = self._clock() + _AVOIDANCE_S
        link = self.links.get(name)
        if link is not None:
            link.liveness.request_ping()

    def is_avoided(self, name: str) -> bool:
        """Return whether a daemon is passed over."""
        until = self._avoided_until.get(name)
        return until is not None and self._clock() < until

    def ping_all(self) -> None:
        """Have all links pinged, so that losses are noticed soon."""
        now = self._clock()
        if now - self._pinged_at < _PING_INTERVAL_S:
            return
        self._pinged_at = now
        for link in self.links.values():
            link.liveness.request_ping()

    def _is_usable(self, name: str) -> bool:
        link = self.links.get(name)
        if link is None or not _is_reached(link):
            return False
        return link.target.supports(PeerFeature.QUOTAS)


def _list_names(directory: Directory) -> Iterator[str]:
    yield directory.local.name
    for record in directory.records():
        yield record.name


def _is_reached(link: PeerLink) -> bool:
    return link.is_up and not link.liveness.is_suspect
