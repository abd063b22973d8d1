"""Accounts that a coordinator holds."""

import math
from collections.abc import Callable
from typing import Protocol

import attrs

from goldcrestwharf.quotas._account import (
    PROMISE_HORIZON_S,
    Account,
    Allotment,
    Limit,
)
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

#: Seconds after a charge in which an account starts overdrawn, since another
#: daemon grants tokens already.
_CHARGE_MEMORY_S = 1.0


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
    has answered that it doesn't hold the account. ``charged`` tokens were
    granted by the asking daemon in the place of this one; negative ones came
    back.
    """

    workspace: str
    wanted: int
    spare: int = 0
    returned: int = 0
    is_declined: bool = False
    charged: int = 0


@attrs.define(kw_only=True, eq=False)
class _OpenAccount:
    """Account with the times of the last requests by asking daemon.

    ``reported`` tokens were charged to the daemons that come before.
    """

    account: Account
    reported: int = 0
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
        report_charge: Callable[[TokenRequest], None],
    ) -> None:
        """Start without accounts; ``handle_takeover`` is told of new ones.

        ``report_charge`` sends a request to the daemons that come before this
        one, so that they charge their accounts with what it granted.
        """
        self._view = view
        self._find_limit = find_limit
        self._clock = clock
        self._handle_takeover = handle_takeover
        self._report_charge = report_charge
        self._accounts: dict[str, _OpenAccount] = {}
        self._charged_at: dict[str, float] = {}
        self._checked_at = clock()

    def grant(self, asker: str, request: TokenRequest) -> Allotment | None:
        """Return the tokens for a daemon, ``None`` if it has to ask another.

        An account whose workspace another daemon should coordinate serves
        daemons that don't reach that one. It grants the fraction of the limit
        that corresponds to their number. The daemons that come before may only
        be slow, so their accounts are charged with these tokens.
        """
        now = self._clock()
        self._close_after_pause(now)
        limit = self._find_limit(request.workspace)
        if limit is None or not self._view.may_hold():
            return None
        if limit.rate == float('inf'):
            return Allotment(tokens=request.wanted)
        held = self._find(request.workspace, limit, now)
        if request.wanted:
            held.asked_at[asker] = now
        share = find_share(self._find_fraction(request, held), limit)
        held.account.apply(limit, share, now)
        held.account.give_back(request.returned, now)
        allotment = held.account.take(request.wanted, request.spare, now)
        if self._is_responsible(request):
            return allotment
        self._report(request.workspace, held, allotment.tokens)
        return _shorten_wait(allotment)

    def give_back(self, request: TokenRequest) -> None:
        """Take back tokens that were not used; charge those of others."""
        now = self._clock()
        if request.charged > 0:
            self._charged_at[request.workspace] = now
        held = self._accounts.get(request.workspace)
        if held is None:
            return
        held.account.charge(request.charged, now)
        held.account.give_back(request.returned, now)
        unused = min(request.returned, held.reported)
        self._report(request.workspace, held, -unused)

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

    def _report(self, workspace: str, held: _OpenAccount, charged: int) -> None:
        """Charge the daemons that come before, if there is something to."""
        held.reported += charged
        if charged:
            self._report_charge(
                TokenRequest(workspace=workspace, wanted=0, charged=charged)
            )

    def _may_keep(self, workspace: str) -> bool:
        is_known = self._find_limit(workspace) is not None
        return is_known and self._view.is_first(workspace)

    def _find(self, workspace: str, limit: Limit, now: float) -> _OpenAccount:
        held = self._accounts.get(workspace)
        if held is None:
            reach = self._view.find_reach()
            is_first = self._view.is_first(workspace)
            tokens = _START_TOKENS * reach.fraction if is_first else 0
            charged_at = self._charged_at.get(workspace, -math.inf)
            if now - charged_at < _CHARGE_MEMORY_S:
                tokens -= limit.rate * PROMISE_HORIZON_S
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
