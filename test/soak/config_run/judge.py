"""Find the requests that were handled by a configuration of the past."""

import enum
from collections import Counter, defaultdict
from collections.abc import Iterator

import attrs

from test.soak.config_run.contact import APPLY_S, STRETCH_S, Contact
from test.soak.config_run.versions import (
    FIRST_ROUTES,
    NO_ROUTE,
    History,
)

#: Seconds after a target has seen the effect of a version from which on the
#: daemon handles no request by an older one.
_ROLLBACK_S = 0.25

#: Least number of requests on added routes, and least share of the first
#: routes' success, of a daemon that serves its added routes.
_MIN_ADDED_REQUESTS = 20
_MIN_ADDED_SHARE = 0.25


class Broken(enum.StrEnum):
    """The way in which a request was handled wrongly."""

    LATE = 'late'
    OLDER_AGAIN = 'older again'
    NEVER_SERVED = 'never served'
    NOT_ALLOWED = 'not allowed'
    ENDED = 'ended by itself'


@attrs.define(kw_only=True, eq=False)
class Sent:
    """A request to one daemon; status 0 means no response.

    ``incarnation`` counts the starts of the daemon's process. ``runs`` has
    the service and the time of each run.
    """

    request_id: str
    daemon: str
    incarnation: int
    route: str
    sent_at: float
    is_kept: bool
    ended_at: float = float('inf')
    status: int = 0
    runs: list[tuple[str, float]] = attrs.field(factory=list)

    def list_outcomes(self) -> list[tuple[str, float]]:
        """Return what shows the configuration that handled the request."""
        if self.status == int(NO_ROUTE) and not self.runs:
            return [(NO_ROUTE, self.ended_at)]
        return self.runs


@attrs.frozen(kw_only=True)
class Finding:
    """A request that was handled wrongly.

    ``seconds`` is the time since a version forbids the outcome.
    """

    rule: Broken
    daemon: str
    after: str
    text: str
    seconds: float = 0
    at: float = 0


@attrs.frozen(kw_only=True)
class Outcome:
    """What shows the configuration that handled a request, and when.

    ``allowing`` are the indexes of the versions that allow it.
    """

    shown: str
    at: float
    allowing: list[int]

    def is_before(self, floor: int) -> bool:
        """Return whether only versions before ``floor`` allow it."""
        return bool(self.allowing) and self.allowing[-1] < floor


@attrs.define(eq=False)
class Floors:
    """The oldest version that a process can have, and since when."""

    _floors: list[tuple[float, int]] = attrs.field(factory=lambda: [(0, 0)])

    def find(self, at: float) -> int:
        """Return the floor of the requests that are sent at a time."""
        return max(
            index for since, index in self._floors if since + _ROLLBACK_S <= at
        )

    def add(self, outcome: Outcome) -> None:
        """Record what a target saw of the version in force."""
        floor = max(index for _, index in self._floors)
        possible = [index for index in outcome.allowing if index >= floor]
        if possible and outcome.shown != NO_ROUTE:
            self._floors.append((outcome.at, possible[0]))


@attrs.define(kw_only=True, eq=False)
class Judge:
    """Checks the requests of a run against the versions of the operator."""

    history: History
    contact: Contact

    def judge(self, requests: list[Sent]) -> list[Finding]:
        """Return what was handled wrongly."""
        ordered = sorted(requests, key=_find_sent_at)
        findings = [*self._find_late(ordered), *self._find_never(ordered)]
        by_process: dict[tuple[str, int], list[Sent]] = defaultdict(list)
        for sent in ordered:
            by_process[sent.daemon, sent.incarnation].append(sent)
        for own in by_process.values():
            findings.extend(self._find_older(own))
        return findings

    def find_stretch(self, requests: list[Sent]) -> float:
        """Return the greatest lateness that a stretched bound allows."""
        lateness = [
            self._find_lateness(sent, outcome)
            for sent in requests
            for outcome in self._list_outcomes(sent)
            if self.contact.is_in_touch(
                sent.daemon, sent.sent_at, sent.ended_at
            )
        ]
        bound = APPLY_S + STRETCH_S
        return max((one for one in lateness if one <= bound), default=0)

    def _find_late(self, ordered: list[Sent]) -> Iterator[Finding]:
        for sent in ordered:
            for outcome in self._list_outcomes(sent):
                late_by = self._find_lateness(sent, outcome)
                if not outcome.allowing:
                    yield self._make(Broken.NOT_ALLOWED, sent, outcome.shown)
                elif self._is_late(sent, late_by):
                    yield self._make(Broken.LATE, sent, outcome.shown, late_by)

    def _list_outcomes(self, sent: Sent) -> Iterator[Outcome]:
        for shown, at in sent.list_outcomes():
            allowing = self.history.find_allowing(sent.route, shown, until=at)
            yield Outcome(shown=shown, at=at, allowing=allowing)

    def _find_lateness(self, sent: Sent, outcome: Outcome) -> float:
        """Return for how long no version has allowed an outcome."""
        if not outcome.allowing:
            return 0
        return sent.sent_at - self.history.find_end(outcome.allowing[-1])

    def _is_late(self, sent: Sent, late_by: float) -> bool:
        if late_by <= 0 or not self.contact.is_in_touch(
            sent.daemon, sent.sent_at, sent.ended_at
        ):
            return False
        since = min(sent.sent_at, sent.sent_at - late_by + 3)
        return late_by > self.contact.find_bound(since, sent.sent_at)

    def _find_older(self, own: list[Sent]) -> Iterator[Finding]:
        """Check that the version of one process never decreases.

        The floor is the oldest version that it can have from a time on.
        """
        floors = Floors()
        for sent in own:
            floor = floors.find(sent.sent_at)
            for outcome in self._list_outcomes(sent):
                if outcome.is_before(floor):
                    late_by = self._find_lateness(sent, outcome)
                    yield self._make(
                        Broken.OLDER_AGAIN, sent, outcome.shown, late_by
                    )
                floors.add(outcome)

    def _find_never(self, ordered: list[Sent]) -> Iterator[Finding]:
        counts: dict[str, Counter[str]] = defaultdict(Counter)
        last: dict[str, Sent] = {}
        for sent in ordered:
            group = self._find_group(sent)
            if group:
                for daemon in (sent.daemon, 'all'):
                    counts[daemon][group] += 1
                    counts[daemon][f'{group}-ok'] += sent.status == 200
                    last[daemon] = sent
        for daemon, count in counts.items():
            is_counted = count['first'] and count['added'] > _MIN_ADDED_REQUESTS
            if is_counted and _find_share(count) < _MIN_ADDED_SHARE:
                yield attrs.evolve(
                    self._make(Broken.NEVER_SERVED, last[daemon], str(count)),
                    daemon=daemon,
                )

    def _find_group(self, sent: Sent) -> str:
        """Return the group of a request that has to be served."""
        if not self.contact.is_calm(sent.sent_at, sent.ended_at):
            return ''
        if sent.route in FIRST_ROUTES:
            return 'first'
        if not sent.route.startswith('added-'):
            return ''
        start = self.history.count_until(sent.sent_at - 2)
        versions = self.history.versions[
            max(start - 1, 0) : self.history.count_until(sent.ended_at)
        ]
        is_there = all(sent.route in version.rules for version in versions)
        return 'added' if versions and is_there else ''

    def _make(
        self, rule: Broken, sent: Sent, outcome: str, seconds: float = 0
    ) -> Finding:
        last = self.contact.find_last(sent.daemon, sent.sent_at)
        return Finding(
            rule=rule,
            daemon=sent.daemon,
            after=self.contact.find_last_kind(sent.daemon, sent.sent_at),
            seconds=seconds,
            at=sent.sent_at,
            text=(
                f'{rule}: {sent.request_id} /{sent.route}/ -> {outcome}'
                f' at {sent.daemon}#{sent.incarnation},'
                f' {seconds:.2f} s after the change, last: {last}'
            ),
        )


def _find_sent_at(sent: Sent) -> float:
    return sent.sent_at


def _find_share(count: Counter[str]) -> float:
    """Return the success on added routes, relative to the first routes."""
    first = count['first-ok'] / count['first']
    added = count['added-ok'] / count['added']
    return added / first if first else 1
