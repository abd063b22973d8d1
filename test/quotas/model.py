"""Model of the daemons that share the limits of workspaces.

The decisions are those of the product. Messages take no time; one to a
daemon that can't be reached counts as lost after 150 ms.
"""

import heapq
import itertools
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

NAMES = tuple(f'daemon-{number}' for number in range(72))
WORKSPACES = 78
LARGEST_RATE = 180
SKEW = 1.3
LIMIT_PER_USUAL = 1.6
WINDOW_S = 5
CHECK_INTERVAL_S = 0.2
CHECK_GROUPS = 10
ANSWER_TIMEOUT_S = 0.15
AVOIDANCE_S = 1.0
MAX_CHARGED = 4

#: Seconds after which a daemon sees that it lost or regained another one.
DETECTION_S = (0.2, 0.6)

Cut = Callable[[str, str], bool]


def connect_all(*_: str) -> bool:
    return True


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
            report_charge=self._charge,
        )

    def sees(self, other: str) -> bool:
        seen = self.mesh.find_connection(self.mesh.now - self.detection)
        return other == self.name or seen(self.name, other)

    def find_reach(self) -> Reach:
        return Reach(reached=sum(map(self.sees, NAMES)), known=len(NAMES))

    def is_first(self, workspace: str) -> bool:
        order = self.mesh.rank(workspace)
        return next(filter(self.sees, order), self.name) == self.name

    def may_hold(self) -> bool:
        return True

    def find_coordinator(self, workspace: str) -> str:
        now = self.mesh.now
        for name in self.mesh.rank(workspace):
            if self.sees(name) and self.avoided.get(name, 0) <= now:
                return name
        return self.name

    def _charge(self, request: TokenRequest) -> None:
        """Charge the daemons that come before this one with its tokens."""
        connected = self.mesh.find_connection(self.mesh.now)
        order = self.mesh.rank(request.workspace)
        seen = filter(self.sees, order[: order.index(self.name)])
        for name in itertools.islice(seen, MAX_CHARGED):
            if connected(self.name, name):
                preceding = self.mesh.members[name]
                preceding.book.give_back(request)


class FixedShare(Daemon):
    """Daemon that grants an equal share, whatever the others get."""

    reach = Reach(reached=1, known=len(NAMES))

    def find_reach(self) -> Reach:
        return self.reach

    def is_first(self, workspace: str) -> bool:
        return True

    def find_coordinator(self, workspace: str) -> str:
        return self.name


class CountsAlone(FixedShare):
    """Daemon that applies the whole limit to its own requests."""

    reach = Reach(reached=1, known=1)


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
        return (sum(self.refused.values()) - self.refused[without]) / sent

    def find_rate(self, workspace: str, begins: float, ends: float) -> float:
        runs = sum(begins < at <= ends for at in self.runs[workspace])
        return runs / (ends - begins)


class Mesh:
    """Daemons, and the requests that they let in.

    ``changes`` has the connections of the daemons from some times on.
    """

    def __init__(
        self,
        *,
        kind: type[Daemon] = Daemon,
        changes: dict[float, Cut] | None = None,
        burst_s: float = 1,
    ) -> None:
        self.now: float = 0
        self._rng = random.Random('quotas')
        self.limits = {
            f'workspace-{number}': make_limit(number, burst_s)
            for number in range(1, WORKSPACES + 1)
        }
        self._changes = changes or {}
        self._ranks: dict[str, tuple[str, ...]] = {}
        self.members = {
            name: kind(
                name=name, mesh=self, detection=self._rng.uniform(*DETECTION_S)
            )
            for name in NAMES
        }
        #: Returns when a refused caller comes back, ``None`` for never.
        self.find_return: Callable[[Arrival, Refusal], float | None] = (
            lambda *_: None
        )
        self.records = Records()
        self._arrivals: list[Arrival] = []
        self._numbers = 0
        self._turn = 0

    def rank(self, workspace: str) -> tuple[str, ...]:
        if workspace not in self._ranks:
            self._ranks[workspace] = rank_names(workspace, NAMES)
        return self._ranks[workspace]

    def find_connection(self, at: float) -> Cut:
        begun = [begin for begin in self._changes if begin <= at]
        return self._changes[max(begun)] if begun else connect_all

    def load(
        self, workspace: str, factor: float, begins: float, ends: float
    ) -> None:
        """Send ``factor`` times the limit, unevenly over the entries."""
        rate = self.limits[workspace].rate * factor
        weights = [1 + number % 3 for number in range(len(NAMES))]
        at = begins + self._rng.expovariate(rate)
        while at < ends:
            entry = self._rng.choices(NAMES, weights)[0]
            self._numbers += 1
            arrival = Arrival(
                at=at,
                number=self._numbers,
                workspace=workspace,
                entry=entry,
                request_id=f'r-{self._numbers}',
                first_at=at,
            )
            heapq.heappush(self._arrivals, arrival)
            at += self._rng.expovariate(rate)

    def advance(self, until: float) -> None:
        check_at = self.now
        while self._arrivals and self._arrivals[0].at < until:
            while check_at <= self._arrivals[0].at:
                self.now = max(self.now, check_at)
                self._check()
                check_at += CHECK_INTERVAL_S / CHECK_GROUPS
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
            for workspace in self.limits
        )

    def _check(self) -> None:
        """Check one group of daemons; they don't do so at the same time."""
        connected = self.find_connection(self.now)
        self._turn = (self._turn + 1) % CHECK_GROUPS
        for name in NAMES[self._turn :: CHECK_GROUPS]:
            member = self.members[name]
            member.book.check()
            unclaimed = [
                token
                for stock in member.stocks.values()
                for token in stock.release(self.now)
                if connected(name, token.coordinator)
            ]
            for token in unclaimed:
                self._give_back(token)

    def _give_back(self, token: Token) -> None:
        request = TokenRequest(workspace=token.workspace, wanted=0, returned=1)
        self.members[token.coordinator].book.give_back(request)

    def _decide(self, arrival: Arrival) -> None:
        member = self.members[arrival.entry]
        connected = self.find_connection(self.now)
        if not connected(member.name, member.name):
            return
        coordinator = member.find_coordinator(arrival.workspace)
        stock = member.stocks[arrival.workspace]
        outcome = stock.find(arrival.request_id, coordinator, self.now)
        if outcome is None:
            if not connected(member.name, coordinator):
                member.avoided[coordinator] = self.now + AVOIDANCE_S
                self._repeat(arrival, ANSWER_TIMEOUT_S)
                return
            outcome = self._ask(arrival, member, coordinator)
        self._record(arrival, outcome)

    def _record(self, arrival: Arrival, outcome: Token | Refusal) -> None:
        self.records.sent[arrival.workspace] += arrival.at == arrival.first_at
        if isinstance(outcome, Token):
            run_at = max(outcome.due_at, self.now)
            self.records.runs[arrival.workspace].append(run_at)
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
        self._numbers += 1
        repeated = attrs.evolve(
            arrival, at=self.now + wait, number=self._numbers
        )
        heapq.heappush(self._arrivals, repeated)


def make_limit(number: int, burst_s: float) -> Limit:
    rate = LARGEST_RATE / number**SKEW * LIMIT_PER_USUAL
    return Limit(rate=rate, burst=rate * burst_s)
