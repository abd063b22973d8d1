"""Accounts that a coordinator holds."""

from collections.abc import Callable
from typing import Protocol

import attrs

from goldcrestwharf.quotas._account import Account, Allotment, Limit
from goldcrestwharf.quotas._share import Reach, find_share

#: Seconds for which a daemon that asked counts as one of those that ask.
_ASKER_MEMORY_S = 1.0

#: Seconds without a request after which an account is closed whose workspace
#: another daemon coordinates.
_IDLE_CLOSE_S = 2.0

#: Longest ``Retry-After`` in seconds of an account that stands in for one at
#: another daemon. Either daemon knows by then whether the other one is lost.
_STAND_IN_RETRY_S = 0.5

#: Seconds between two checks that show that the process was paused. Others
#: have taken over meanwhile, so its accounts start again.
_PAUSE_S = 1.0

#: Tokens with which all accounts of a workspace together start, so that a
#: small workspace is served at a takeover. The slack of the bound covers
#: several takeovers within one window.
_START_TOKENS = 3.0


class MemberView(Protocol):
    """What a daemon knows of the other daemons."""

    def find_reach(self) -> Reach:
        """Return the number of daemons reached and known."""

    def is_first(self, workspace: str) -> bool:
        """Return whether the local daemon is the coordinator it would ask."""

    def may_hold(self) -> bool:
        """Return whether the local daemon knows enough to hold accounts."""


@attrs.frozen(kw_only=True)
class TokenRequest:
    """Request of an entry for tokens of one workspace.

    ``spare`` tokens are wanted ahead of demand, ``returned`` ones were not
    used. ``is_declined`` is set if the daemon that comes before in the order
    has answered that it doesn't hold the account.
    """

    workspace: str
    wanted: int
    spare: int = 0
    returned: int = 0
    is_declined: bool = False


@attrs.define(kw_only=True, eq=False)
class _OpenAccount:
    """Account with the times of the last requests by asking daemon."""

    account: Account
    asked_at: dict[str, float] = attrs.field(factory=dict)

    def count_askers(self, now: float) -> int:
        oldest = now - _ASKER_MEMORY_S
        for asker, at in tuple(self.asked_at.items()):
            if at < oldest:
                self.asked_at.pop(asker)
        return len(self.asked_at)


class AccountBook:
    """Accounts of the workspaces that other daemons ask this one for.

    ``find_limit`` returns the limit of a workspace, ``None`` if the active
    configuration doesn't name it. ``clock`` returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        view: MemberView,
        find_limit: Callable[[str], Limit | None],
        clock: Callable[[], float],
        handle_takeover: Callable[[str, Reach], None],
    ) -> None:
        """Start without accounts; ``handle_takeover`` is told of new ones."""
        self._view = view
        self._find_limit = find_limit
        self._clock = clock
        self._handle_takeover = handle_takeover
        self._accounts: dict[str, _OpenAccount] = {}
        self._checked_at = clock()

    def grant(self, asker: str, request: TokenRequest) -> Allotment | None:
        """Return the tokens for a daemon, ``None`` if it has to ask another.

        An account whose workspace another daemon should coordinate serves
        daemons that don't reach that one. It grants the fraction of the limit
        that corresponds to their number.
        """
        now = self._clock()
        self._close_after_pause(now)
        limit = self._find_limit(request.workspace)
        if limit is None or not self._view.may_hold():
            return None
        if limit.rate == float('inf'):
            return Allotment(tokens=request.wanted)
        held = self._find(request.workspace, now)
        if request.wanted:
            held.asked_at[asker] = now
        share = find_share(self._find_fraction(request, held), limit)
        held.account.apply(limit, share, now)
        held.account.give_back(request.returned, now)
        allotment = held.account.take(request.wanted, request.spare, now)
        if self._is_responsible(request):
            return allotment
        return _shorten_wait(allotment)

    def give_back(self, request: TokenRequest) -> None:
        """Take back tokens that an entry did not use."""
        held = self._accounts.get(request.workspace)
        if held is not None:
            held.account.give_back(request.returned, self._clock())

    def check(self) -> None:
        """Close the accounts that others coordinate; call several times a s."""
        now = self._clock()
        self._close_after_pause(now)
        self._checked_at = now
        for workspace, held in tuple(self._accounts.items()):
            last = max(held.asked_at.values(), default=0)
            is_idle = now - last > _IDLE_CLOSE_S
            if is_idle and not self._may_keep(workspace):
                self._accounts.pop(workspace)

    def _may_keep(self, workspace: str) -> bool:
        is_known = self._find_limit(workspace) is not None
        return is_known and self._view.is_first(workspace)

    def _find(self, workspace: str, now: float) -> _OpenAccount:
        held = self._accounts.get(workspace)
        if held is None:
            reach = self._view.find_reach()
            is_first = self._view.is_first(workspace)
            tokens = _START_TOKENS * reach.fraction if is_first else 0
            held = _OpenAccount(account=Account(tokens=tokens, now=now))
            self._accounts[workspace] = held
            self._handle_takeover(workspace, reach)
        return held

    def _find_fraction(
        self, request: TokenRequest, held: _OpenAccount
    ) -> float:
        reach = self._view.find_reach()
        if self._is_responsible(request):
            return reach.fraction
        askers = held.count_askers(self._clock())
        return min(askers / max(reach.known, 1), reach.fraction)

    def _is_responsible(self, request: TokenRequest) -> bool:
        """Return whether no daemon that comes before holds the account."""
        return request.is_declined or self._view.is_first(request.workspace)

    def _close_after_pause(self, now: float) -> None:
        if now - self._checked_at > _PAUSE_S:
            self._accounts.clear()
            self._checked_at = now


def _shorten_wait(allotment: Allotment) -> Allotment:
    """Return an allotment without long waits for those who get no token."""
    if allotment.tokens or allotment.retry_after < _STAND_IN_RETRY_S:
        return allotment
    return attrs.evolve(allotment, retry_after=_STAND_IN_RETRY_S, spacing=0)
