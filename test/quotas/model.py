"""Model of the daemons that share the limits of workspaces.

The decisions are those of the product. Messages take no time; one to a
daemon that can't be reached counts as lost after 150 ms.
"""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.quotas import (
    AccountBook,
    Grant,
    Limit,
    Reach,
    Token,
    TokenRequest,
    TokenStock,
    rank_names,
)

DAEMONS = 72
WORKSPACES = 78
LARGEST_RATE = 180
SKEW = 1.3
LIMIT_PER_USUAL = 1.6
BURST_S = 1.0
WINDOW_S = 5
CHECK_INTERVAL_S = 0.2
ANSWER_TIMEOUT_S = 0.15
AVOIDANCE_S = 1.0

#: Seconds after which a daemon sees that it lost or regained another one.
DETECTION_S = (0.2, 0.6)

Cut = Callable[[str, str], bool]


def connect_all(*_: str) -> bool:
    return True


@attrs.frozen(kw_only=True)
class Change:
    """From ``at`` on, two daemons are connected as ``is_connected`` says."""

    at: float
    is_connected: Cut


@attrs.frozen(kw_only=True, order=True)
class Arrival:
    at: float
    number: int
    workspace: str = attrs.field(order=False)
    entry: str = attrs.field(order=False)
    request_id: str = attrs.field(order=False)
    first_at: float = attrs.field(order=False)


@attrs.define(kw_only=True, eq=False)
class Daemon:
    """Daemon with its view of the others; implements ``MemberView``."""

    name: str
    mesh: 'Mesh'
    detection: float
    stocks: dict[str, TokenStock] = attrs.field(
        factory=lambda: defaultdict(TokenStock)
    )
    avoided: dict[str, float] = attrs.field(factory=dict)
    book: AccountBook = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.book = AccountBook(
            view=self,
            find_limit=self.mesh.limits.get,
            clock=lambda: self.mesh.now,
            handle_takeover=lambda *_: None,
        )

    def sees(self, other: str) -> bool:
        if other == self.name:
            return True
        seen = self.mesh.find_connection(self.mesh.now - self.detection)
        return seen(self.name, other)

    def find_reach(self) -> Reach:
        return Reach(
            reached=sum(map(self.sees, self.mesh.members)), known=DAEMONS
        )

    def is_first(self, workspace: str) -> bool:
        order = self.mesh.rank(workspace)
        return next(filter(self.sees, order), self.name) == self.name

    def may_hold(self) -> bool:
        return True

    def coordinators(self, workspace: str) -> list[str]:
        now = self.mesh.now
        usable = [
            name
            for name in self.mesh.rank(workspace)
            if self.sees(name) and self.avoided.get(name, 0) <= now
        ]
        return [*usable, self.name]


class FixedShare(Daemon):
    """Daemon that grants an equal share, whatever the others get."""

    reach = Reach(reached=1, known=DAEMONS)

    def find_reach(self) -> Reach:
        return self.reach

    def is_first(self, workspace: str) -> bool:
        return True

    def coordinators(self, workspace: str) -> list[str]:
        return [self.name]


class CountsAlone(FixedShare):
    """Daemon that applies the whole limit to its own requests."""

    reach = Reach(reached=1, known=1)


FindReturn = Callable[[Arrival, Refusal], float | None]


def stay_away(*_: object) -> None:
    """Never return."""


class Records:
    """Requests that were sent, let in and refused."""

    def __init__(self) -> None:
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.sent: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.admitted_ids: set[str] = set()

    def find_peak(self, workspace: str, after: float = 0) -> int:
        """Return the most runs in any window of 5 s that begins later."""
        runs = sorted(at for at in self.runs[workspace] if at >= after)
        peak = 0
        first = 0
        for last, at in enumerate(runs):
            while runs[first] <= at - WINDOW_S:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def find_refused_share(self, without: str) -> float:
        """Return the refused share of the requests of other workspaces."""
        sent = sum(self.sent.values()) - self.sent[without]
        refused = sum(self.refused.values()) - self.refused[without]
        return refused / sent

    def find_rate(self, workspace: str, begins: float, ends: float) -> float:
        """Return the runs per second in a period."""
        runs = sum(begins < at <= ends for at in self.runs[workspace])
        return runs / (ends - begins)


class Mesh:
    """Daemons, and the requests that they let in."""

    def __init__(
        self,
        *,
        kind: type[Daemon] = Daemon,
        changes: tuple[Change, ...] = (),
        burst_s: float = BURST_S,
    ) -> None:
        self.now: float = 0
        self._rng = random.Random('quotas')
        self.usual = {
            f'workspace-{number}': LARGEST_RATE / number**SKEW
            for number in range(1, WORKSPACES + 1)
        }
        self.limits = {
            name: Limit(
                rate=rate * LIMIT_PER_USUAL,
                burst=rate * LIMIT_PER_USUAL * burst_s,
            )
            for name, rate in self.usual.items()
        }
        self._changes = (
            Change(at=float('-inf'), is_connected=connect_all),
            *changes,
        )
        names = [f'daemon-{number}' for number in range(DAEMONS)]
        self._ranks: dict[str, tuple[str, ...]] = {}
        self.members = {
            name: kind(
                name=name,
                mesh=self,
                detection=self._rng.uniform(*DETECTION_S),
            )
            for name in names
        }
        #: Returns when a refused caller comes back, ``None`` for never.
        self.find_return: FindReturn = stay_away
        self.records = Records()
        self._arrivals: list[Arrival] = []
        self._numbers = 0

    def rank(self, workspace: str) -> tuple[str, ...]:
        if workspace not in self._ranks:
            self._ranks[workspace] = rank_names(workspace, self.members)
        return self._ranks[workspace]

    def find_connection(self, at: float) -> Cut:
        return [
            change.is_connected for change in self._changes if change.at <= at
        ][-1]

    def load(
        self, workspace: str, rate: float, begins: float, ends: float
    ) -> None:
        """Send requests at random times, unevenly over the entries."""
        names = list(self.members)
        weights = [1 + number % 3 for number in range(DAEMONS)]
        at = begins + self._rng.expovariate(rate)
        while at < ends:
            entry = self._rng.choices(names, weights)[0]
            self.send(workspace, entry, at)
            at += self._rng.expovariate(rate)

    def send(
        self,
        workspace: str,
        entry: str,
        at: float,
        request_id: str = '',
        first_at: float | None = None,
    ) -> None:
        self._numbers += 1
        heapq.heappush(
            self._arrivals,
            Arrival(
                at=at,
                number=self._numbers,
                workspace=workspace,
                entry=entry,
                request_id=request_id or f'r-{self._numbers}',
                first_at=at if first_at is None else first_at,
            ),
        )

    def advance(self, until: float) -> None:
        check_at = self.now
        while self._arrivals and self._arrivals[0].at < until:
            while check_at <= self._arrivals[0].at:
                self.now = max(self.now, check_at)
                self._check()
                check_at += CHECK_INTERVAL_S
            arrival = heapq.heappop(self._arrivals)
            self.now = max(self.now, arrival.at)
            self._decide(arrival)
        self.now = until

    def find_bound(self, workspace: str) -> float:
        limit = self.limits[workspace]
        return (limit.rate * WINDOW_S + limit.burst) * 1.1 + 20

    def find_excess(self) -> float:
        """Return the largest peak of any workspace, relative to its bound."""
        return max(
            self.records.find_peak(workspace) / self.find_bound(workspace)
            for workspace in self.usual
        )

    def lower(self, workspace: str, factor: float) -> None:
        """Apply a configuration with another limit at all daemons."""
        limit = self.limits[workspace]
        self.limits[workspace] = Limit(
            rate=limit.rate * factor, burst=limit.burst * factor
        )
        for member in self.members.values():
            member.stocks[workspace].promises.clear()

    def _check(self) -> None:
        for member in self.members.values():
            member.book.check()
            for workspace, stock in member.stocks.items():
                for token in stock.release(self.now):
                    self._return(workspace, member, token)

    def _return(self, workspace: str, member: Daemon, token: Token) -> None:
        connected = self.find_connection(self.now)
        if connected(member.name, token.coordinator):
            self.members[token.coordinator].book.give_back(
                TokenRequest(workspace=workspace, wanted=0, returned=1)
            )

    def _decide(self, arrival: Arrival) -> None:
        member = self.members[arrival.entry]
        connected = self.find_connection(self.now)
        if not connected(member.name, member.name):
            return
        stock = member.stocks[arrival.workspace]
        order = member.coordinators(arrival.workspace)
        outcome = stock.find(arrival.request_id, order[0], self.now)
        if outcome is None:
            if order[0] != member.name and not connected(member.name, order[0]):
                member.avoided[order[0]] = self.now + AVOIDANCE_S
                self._repeat(arrival, ANSWER_TIMEOUT_S)
                return
            outcome = self._ask(arrival, member, order[0])
        if arrival.at == arrival.first_at:
            self.records.sent[arrival.workspace] += 1
        if isinstance(outcome, Token):
            self.records.runs[arrival.workspace].append(
                max(outcome.due_at, self.now)
            )
            self.records.admitted_ids.add(arrival.request_id)
            return
        self.records.refused[arrival.workspace] += 1
        wait = self.find_return(arrival, outcome)
        if wait is not None:
            self._repeat(arrival, wait)

    def _ask(
        self, arrival: Arrival, member: Daemon, coordinator: str
    ) -> Token | Refusal:
        stock = member.stocks[arrival.workspace]
        request = TokenRequest(
            workspace=arrival.workspace,
            wanted=1,
            spare=stock.count_wanted(self.now),
        )
        allotment = self.members[coordinator].book.grant(member.name, request)
        assert allotment is not None
        grant = Grant(
            workspace=arrival.workspace,
            coordinator=coordinator,
            allotment=allotment,
        )
        return stock.settle(grant, (arrival.request_id,), self.now)[0]

    def _repeat(self, arrival: Arrival, wait: float) -> None:
        self.send(
            arrival.workspace,
            arrival.entry,
            self.now + wait,
            arrival.request_id,
            arrival.first_at,
        )


def send_load(mesh: Mesh, seconds: float, loud: str, factor: float = 8) -> None:
    """Send the usual load, and from 5 s on ``factor`` times that of one."""
    for workspace, rate in mesh.usual.items():
        mesh.load(workspace, rate, 0, seconds)
    mesh.load(loud, mesh.usual[loud] * (factor - 1), 5, seconds)
