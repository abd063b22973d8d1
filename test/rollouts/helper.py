"""Targets, orders and evidence for tests of roll-outs."""

import random

import attrs

from goldcrestwharf.rollouts import (
    EvidenceCounter,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutTable,
    RolloutTerms,
    TargetReport,
    VersionRegistry,
    VersionShare,
)

SERVICE = 'kitchen'


@attrs.define(kw_only=True)
class FakeTarget:
    daemon: str
    version: str
    started_ms: int = 1
    is_draining: bool = False
    is_suspect: bool = False

    @property
    def instance_id(self) -> str:
        return f'i-{self.daemon}'


class Clock:
    """Clock that the test sets, in seconds."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_targets(old: int, new: int = 0) -> list[FakeTarget]:
    """Return targets of v1 and, started later, of v2."""
    return [
        *(FakeTarget(daemon=f'old-{one}', version='v1') for one in range(old)),
        *(
            FakeTarget(daemon=f'new-{one}', version='v2', started_ms=9)
            for one in range(new)
        ),
    ]


def make_state(
    clock: Clock, phase: Phase = Phase.TRIAL, offset: int = 7, epoch: int = 1
) -> RolloutState:
    return RolloutState(
        order=RolloutOrder(
            service=SERVICE,
            version='v2',
            duration=12,
            offset=offset,
            epoch=epoch,
        ),
        began_at=clock(),
        phase=phase,
        has_started=True,
    )


class Entry:
    """Decisions of one entry; ``has_contact`` says that orders arrive."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.has_contact = True
        self.clock = clock
        self.table = RolloutTable(clock=clock)
        self.share = VersionShare(
            table=self.table,
            registry=VersionRegistry(
                clock=clock, has_contact=lambda: self.has_contact
            ),
            terms=RolloutTerms(),
            rng=rng,
        )

    def hear(self, state: RolloutState) -> None:
        """Receive a message of the controller."""
        self.table.offer(state)
        self.table.renew_lease(state)

    def select(self, targets: list[FakeTarget]) -> list[str]:
        """Return the daemons that the next attempt may go to."""
        return [one.daemon for one in self.share.select(SERVICE, targets)]

    def send(self, targets: list[FakeTarget]) -> bool:
        """Send a request that is run; return whether the new version did."""
        chosen = self.share.select(SERVICE, targets)
        self.share.record_run(SERVICE)
        return chosen[0].version == 'v2'


def is_new(names: list[str]) -> bool:
    return bool(names) and all(name.startswith('new') for name in names)


def is_old(names: list[str]) -> bool:
    return bool(names) and all(name.startswith('old') for name in names)


class Owner:
    """Daemon beside a target that counts its answers."""

    def __init__(self, daemon: str, version: str, zone: str = 'a') -> None:
        self.daemon = daemon
        self.in_flight = 0
        self._version = version
        self._zone = zone
        self._counter = EvidenceCounter()

    def answer(
        self,
        *,
        good: int = 0,
        failed: int = 0,
        seconds: float = 0.2,
        route: str = 'fetch',
    ) -> None:
        for number in range(good + failed):
            self._counter.record(
                self._version,
                route,
                has_failed=number < failed,
                service_time=seconds,
            )

    def report(self) -> TargetReport:
        return TargetReport(
            daemon=self.daemon,
            in_flight=self.in_flight,
            by_version=self._counter.by_version,
            zone=self._zone,
        )
