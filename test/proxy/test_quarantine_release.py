"""Test how a request returns from its quarantine."""

import random
from collections.abc import Iterator

import attrs
import pytest

from goldcrestwharf.discovery import Heartbeat, InstanceState, InstanceTracker
from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._crash_detector import CrashDetector
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.proxy._target_pool import TargetPool
from goldcrestwharf.timers import ManualTimers

STEP_S = 0.05
REPORT_DELAY_S = 0.2
DOWN_S = 0.5

#: Crashes after which the platform counts further runs of a request, seconds
#: in which these may still come, and how many may come later.
MAX_CRASHES = 3
SETTLED_S = 3.0
MAX_LATE_RUNS = 3

PATHS = ('/menu/1', '/menu/2')


def make_attempt(path: str) -> Attempt:
    head = f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
    return Attempt(
        request_id='r',
        request_class='menu',
        service='kitchen',
        instance_id='i',
        priority=0,
        left=1,
        objective_left=1,
        is_repeatable=True,
        head=head.encode(),
        body=b'',
    )


class Clock(ManualTimers):
    """Manual timers that advance without an event loop."""

    def skip(self, seconds: float) -> None:
        self._now += seconds


@attrs.frozen(kw_only=True)
class Arrival:
    """Reports on their way to a daemon."""

    at: float
    exchange: CrashExchange
    reports: CrashReports


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Crash reports of a daemon, and the time until its target is back."""

    exchange: CrashExchange
    detector: CrashDetector
    back_at: float = 0


class Fleet:
    """Daemons that exchange reports after a delay, on one manual clock."""

    def __init__(self, *, size: int, seed: int) -> None:
        self.clock = Clock()
        self.rng = random.Random(f'fleet {seed}')
        self.peers = [self._make_peer(f'{seed} {one}') for one in range(size)]
        self.runs: dict[str, list[float]] = {path: [] for path in PATHS}
        self._in_transit: list[Arrival] = []

    def advance(self) -> None:
        self.clock.skip(STEP_S)
        now = self.clock.now()
        due = [one for one in self._in_transit if one.at <= now]
        self._in_transit = [one for one in self._in_transit if one.at > now]
        for arrival in due:
            arrival.exchange.receive(arrival.reports)

    def send(self, paths: tuple[str, ...]) -> None:
        """Send requests together to one target, which they crash."""
        entry = self.rng.choice(self.peers)
        owner = self.rng.choice(self.peers)
        if owner.back_at > self.clock.now():
            return
        admitted = [
            attempt
            for attempt in map(make_attempt, paths)
            if entry.exchange.find_refusal(attempt.head, b'') is None
            and owner.detector.admit(attempt) is None
        ]
        if admitted:
            owner.back_at = self.clock.now() + DOWN_S
            self._crash(owner, admitted)

    def late_runs(self, path: str) -> int:
        """Return the runs later than the last that nobody could stop."""
        runs = self.runs[path]
        last = runs[MAX_CRASHES - 1] + SETTLED_S
        return sum(at > last for at in runs)

    def _crash(self, owner: Peer, attempts: list[Attempt]) -> None:
        running = [owner.detector.track(attempt) for attempt in attempts]
        for tracked, attempt in zip(running, attempts, strict=True):
            tracked.__enter__()
            path = attempt.head.split()[1].decode()
            self.runs[path].append(self.clock.now())
        owner.detector.report_unreachable()
        for ended in running:
            ended.__exit__(None, None, None)

    def _make_peer(self, seed: str) -> Peer:
        exchange = CrashExchange(
            names=HeaderNames(),
            clock=self.clock.now,
            rng=random.Random(seed),
        )
        peer = Peer(exchange=exchange, detector=self._make_detector(exchange))
        exchange.watch(lambda reports: self._broadcast(peer, reports))
        return peer

    def _make_detector(self, exchange: CrashExchange) -> CrashDetector:
        address = '127.0.0.1:1'
        tracker = InstanceTracker(address=address, service='kitchen', period=1)
        tracker.record_heartbeat(
            Heartbeat(
                instance_id='i',
                started_ms=1,
                sequence=1,
                service='kitchen',
                address=address,
                slots=10,
                state=InstanceState.READY,
            ),
            0,
        )
        return CrashDetector(
            instance_tracker=tracker,
            pool=TargetPool(address=address, clock=self.clock.now),
            exchange=exchange,
            clock=self.clock.now,
        )

    def _broadcast(self, sender: Peer, reports: CrashReports) -> None:
        at = self.clock.now() + REPORT_DELAY_S
        self._in_transit.extend(
            Arrival(at=at, exchange=peer.exchange, reports=reports)
            for peer in self.peers
            if peer is not sender
        )


def steps(seconds: float) -> Iterator[int]:
    return iter(range(round(seconds / STEP_S)))


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('size', [2, 6, 60])
def test_two_crashing_requests_sent_together_do_not_return_everywhere(
    size: int,
    seed: int,
) -> None:
    fleet = Fleet(size=size, seed=seed)
    for _ in steps(180):
        fleet.advance()
        fleet.send(PATHS)
        fleet.send(PATHS)
    assert max(map(fleet.late_runs, PATHS)) <= MAX_LATE_RUNS
