"""Measure the processor time of each decision, in microseconds.

Prints one JSON line for each decision and size with the median, the lowest
and the highest of several rounds.
"""

import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from functools import partial

import anyio
import attrs

from bench.fleetmodel import GROUP, GROUP_NAME, ModelView
from goldcrestwharf import limits, routing
from goldcrestwharf.membership import Member, Target
from goldcrestwharf.objects import ObjectSet, Route, Service
from goldcrestwharf.quarantine import fingerprint_of
from goldcrestwharf.timers import SystemTimers

_ROUND_COUNT = 7
_CALLS_PER_ROUND = 2000
_SIZES = (5, 50, 200)
_ZONES = ('recife-a', 'recife-b', 'fortaleza-a', 'salvador-a')
_MICROSECONDS_PER_S = 1e6
_SEED = 1
_HOST_COUNT = 50
_LOAD = routing.TargetLoad(in_use=6, queued=0, slots=12)


def report(decision: str, size: int, costs: list[float]) -> None:
    """Print the cost of a decision."""
    median_and_range = (statistics.median(costs), min(costs), max(costs))
    line = {
        'bench': f'decisions.cost.{decision}',
        'size': size,
        'us': [round(cost, 2) for cost in median_and_range],
    }
    print(json.dumps(line))


def measure(decision: Callable[[], object]) -> list[float]:
    """Return the cost of one call in each round, in microseconds."""
    costs = []
    for _ in range(_ROUND_COUNT):
        started_at = time.process_time()
        for _ in range(_CALLS_PER_ROUND):
            decision()
        passed = time.process_time() - started_at
        costs.append(passed / _CALLS_PER_ROUND * _MICROSECONDS_PER_S)
    return costs


def make_view(size: int) -> ModelView:
    """Return a view of ``size`` targets, spread over the zones."""
    listing = []
    for number in range(size):
        target = Target(
            name=f't{number}',
            group=GROUP_NAME,
            address='127.0.0.1:1',
            slots=12,
        )
        member = Member(
            vm=f'vm-{number}',
            zone=_ZONES[number % len(_ZONES)],
            address='127.0.0.1:1',
            incarnation=1,
            targets=(target,),
        )
        listing.append((member, target))
    return ModelView(listing=tuple(listing))


@attrs.define(kw_only=True)
class Choice:
    """One choice of a target and the record of its outcome."""

    chooser: routing.TargetChooser
    load: routing.TargetLoad

    def run(self) -> None:
        """Choose a target and record that it answered."""
        chosen = self.chooser.choose(GROUP_NAME, GROUP)
        if chosen is not None:
            self.chooser.record_outcome(
                routing.TargetOutcome(
                    key=chosen.key,
                    kind=routing.OutcomeKind.ANSWERED,
                    load=self.load,
                ),
            )


def report_choices() -> None:
    """Measure the choice of a target in groups of several sizes."""
    for size in _SIZES:
        chooser = routing.TargetChooser(
            view=make_view(size),
            zone=_ZONES[0],
            timers=SystemTimers(),
            rng=random.Random(_SEED),
            cfg=routing.RoutingSettings(),
        )
        report(
            'choose-and-note',
            size,
            measure(Choice(chooser=chooser, load=_LOAD).run),
        )


def make_table(size: int) -> routing.RouteTable:
    """Return a table of ``size`` services with one route each."""
    services = {}
    routes = {}
    for number in range(size):
        name = str(number)
        services[name] = Service(target_group=GROUP_NAME)
        routes[name] = Route(
            service=name,
            host=str(number % _HOST_COUNT),
            path_prefix=f'/area/{number}',
        )
    return routing.compile_routes(ObjectSet(services=services, routes=routes))


def report_matches() -> None:
    """Measure the route match with 20 to 2,000 services."""
    for size in (20, 200, 2000):
        match = partial(
            make_table(size).match,
            host=str(19 % _HOST_COUNT),
            path='/area/19/items/7',
            method='GET',
        )
        report('match', size, measure(match))


async def report_gate() -> None:
    """Measure the admission of a request and its release."""
    gate = limits.SlotGate(slots=12, queue=24, timers=SystemTimers())
    started_at = time.process_time()
    left = _CALLS_PER_ROUND
    while left:
        await gate.admit(remaining=1, caller='a')
        gate.release(service_time=0.01)
        left -= 1
    passed = time.process_time() - started_at
    report('gate', 1, [passed / _CALLS_PER_ROUND * _MICROSECONDS_PER_S])


def report_small() -> None:
    """Measure the decisions whose cost doesn't depend on a size."""
    budget = limits.RetryBudget(percent=10, timers=SystemTimers())
    report('budget', 1, measure(budget.may_retry))
    body = b'x' * 1000
    report(
        'fingerprint-1kB',
        1,
        measure(
            partial(fingerprint_of, 'POST', 'menu.example', '/o', body),
        ),
    )


def main() -> None:
    """Print all results."""
    report_matches()
    report_choices()
    anyio.run(report_gate)
    report_small()


if __name__ == '__main__':
    sys.exit(main())
