"""The configurations that the operator of a run publishes."""

import bisect
import json
import random
import time
from collections import deque
from collections.abc import Iterator, Mapping
from types import MappingProxyType

import attrs

HOST = 'shop.example'

#: Outcome of a request that no route matches.
NO_ROUTE = '404'

SERVICES = ('wire', 'rights', 'desk')

#: Routes that all configurations have; those of the second group change
#: their service.
FIRST_ROUTES = ('first-0', 'first-1', 'first-2')
MOVED_ROUTES = ('moved-0', 'moved-1', 'moved-2', 'moved-3')
SPLIT_ROUTE = 'split'

#: A route of invalid configurations only, and one of none.
INVALID_ROUTE = 'invalid'
UNKNOWN_ROUTE = 'unknown'

_MAX_ADDED_ROUTES = 20
_RECENT_CHANGES = 10
_LARGE_ROUTE_COUNT = 1000
_LARGE_SHARE = 0.08
_LIMITS = MappingProxyType(
    {
        'max_header_bytes': 16384,
        'max_body_bytes': 1_000_000,
        'header_timeout': '3000ms',
        'idle_timeout': '15s',
    }
)


@attrs.frozen(kw_only=True)
class Rule:
    """A route: the weight of each of its services and its timeout."""

    weights: tuple[tuple[str, int], ...]
    timeout_ms: int = 1500
    is_repeatable: bool = True

    @property
    def services(self) -> frozenset[str]:
        return frozenset(name for name, weight in self.weights if weight)

    def describe(self, name: str) -> dict[str, object]:
        """Return the rule in the platform's format."""
        if len(self.weights) == 1:
            action: dict[str, object] = {'service': self.weights[0][0]}
        else:
            action = {
                'traffic_split': [
                    {'service': service, 'weight': weight}
                    for service, weight in self.weights
                ]
            }
        kind = 'idempotent' if self.is_repeatable else 'non_idempotent'
        return {
            'name': name,
            'route_type': kind,
            'target_latency': '300ms',
            'priority': 1,
            'match': {'path_prefix': f'/{name}/'},
            'action': action
            | {'timeout': f'{self.timeout_ms}ms', 'attempts': 3},
        }


@attrs.frozen(kw_only=True)
class Version:
    """A configuration that the store has acknowledged at a monotonic time."""

    number: int
    rules: Mapping[str, Rule]
    acked_at: float

    def allows(self, route: str, outcome: str) -> bool:
        """Return whether a request may end like that.

        ``outcome`` is the service that ran the request, or ``NO_ROUTE``.
        """
        rule = self.rules.get(route)
        if rule is None:
            return outcome == NO_ROUTE
        return outcome in rule.services


@attrs.define(kw_only=True, eq=False)
class History:
    """All versions in the order in which they were acknowledged."""

    versions: list[Version] = attrs.field(factory=list)
    _times: list[float] = attrs.field(factory=list)

    def add(self, version: Version) -> None:
        self.versions.append(version)
        self._times.append(version.acked_at)

    def count_until(self, at: float) -> int:
        """Return the number of versions acknowledged until a time."""
        return bisect.bisect_right(self._times, at)

    def find_allowing(
        self, route: str, outcome: str, *, until: float
    ) -> list[int]:
        """Return the indexes of the versions that allow an outcome."""
        count = self.count_until(until)
        return [
            index
            for index, version in enumerate(self.versions[:count])
            if version.allows(route, outcome)
        ]

    def find_end(self, index: int) -> float:
        """Return when the next version was acknowledged, infinity if none."""
        if index + 1 == len(self._times):
            return float('inf')
        return self._times[index + 1]


class Operator:
    """Changes the rules step by step and renders the configurations.

    ``recent`` are the routes that changed last. All configurations are large
    if ``is_large`` is set, and some otherwise.
    """

    def __init__(self, *, rng: random.Random, is_large: bool = False) -> None:
        self.history = History()
        self.recent: deque[str] = deque(maxlen=_RECENT_CHANGES)
        self._rng = rng
        self._number = 0
        self._added = 0
        self._moved = 0
        self._move_at: float = 0
        self._is_large = is_large
        self._large = _LARGE_ROUTE_COUNT if is_large else 0
        self._rules = dict(self._make_first_rules())

    @property
    def rules(self) -> Mapping[str, Rule]:
        return self._rules

    def change(self) -> bytes:
        """Make the next version and return its configuration."""
        self._number += self._rng.choice((1, 1, 2, 3, 7))
        if self.history.versions:
            self._change_rules()
        fillers = {
            f'filler-{number}': Rule(weights=(('wire', 1),))
            for number in range(self._large)
        }
        return self._render(self._number, {**self._rules, **fillers})

    def acknowledge(self) -> None:
        """Record that the store has acknowledged the last version."""
        self.history.add(
            Version(
                number=self._number,
                rules=dict(self._rules),
                acked_at=time.monotonic(),
            )
        )

    def list_invalid(self) -> list[bytes]:
        """Return records that must never come into force, in random order.

        The last of them is an older version once more, which a daemon may
        take that has none.
        """
        number = self._number + self._rng.randint(1, 50)
        whole = self._render_invalid(number, Rule(weights=(('wire', 1),)))
        records = [
            whole[: len(whole) // 2],
            self._render_invalid(number, Rule(weights=(('nobody', 1),))),
            self._render_invalid(
                number, Rule(weights=(('wire', -1), ('desk', 2)))
            ),
            self._render_invalid(
                number, Rule(weights=(('wire', 1),), timeout_ms=-5)
            ),
            b'[' * 100_000,
            b'{"version": "r%d"}' % number,
            b'{"version": 1e999, "listeners": [], "clusters": []}',
            b'\xff\xfe',
        ]
        self._rng.shuffle(records)
        older = self._rng.choice(self.history.versions)
        return [*records, self._render(older.number, older.rules)]

    def _render_invalid(self, number: int, broken: Rule) -> bytes:
        """Return the rules with a route by which they would be noticed."""
        visible = Rule(weights=(('wire', 1),))
        rules = {**self._rules, INVALID_ROUTE: visible, 'broken': broken}
        return self._render(number, rules)

    def _make_first_rules(self) -> Iterator[tuple[str, Rule]]:
        for number, name in enumerate(FIRST_ROUTES + MOVED_ROUTES):
            service = SERVICES[number % len(SERVICES)]
            yield (
                name,
                Rule(
                    weights=((service, 1),),
                    is_repeatable=bool(number % 2),
                ),
            )
        yield SPLIT_ROUTE, Rule(weights=(('wire', 1), ('rights', 1)))

    def _change_rules(self) -> None:
        rng = self._rng
        steps = [self._add, self._add, self._drop, self._drop]
        steps += [self._split, self._change_timeout]
        chosen = [rng.choice(steps)]
        now = time.monotonic()
        if now > self._move_at:
            self._move_at = now + rng.uniform(1, 2.5)
            chosen.append(self._move)
        for step in chosen:
            step()
        is_large = rng.random() < _LARGE_SHARE
        if is_large and not self._is_large:
            self._large = 0 if self._large else _LARGE_ROUTE_COUNT

    def _list_added(self) -> list[str]:
        return [name for name in self._rules if name.startswith('added-')]

    def _add(self) -> None:
        if len(self._list_added()) > _MAX_ADDED_ROUTES:
            return
        self._added += 1
        name = f'added-{self._added}'
        service = self._rng.choice(SERVICES)
        self._rules[name] = Rule(
            weights=((service, 1),),
            is_repeatable=self._rng.random() < 0.7,
        )
        self.recent.append(name)

    def _drop(self) -> None:
        added = self._list_added()
        if len(added) > 3:
            name = self._rng.choice(added)
            self._rules.pop(name)
            self.recent.append(name)

    def _move(self) -> None:
        name = MOVED_ROUTES[self._moved % len(MOVED_ROUTES)]
        self._moved += 1
        rule = self._rules[name]
        place = SERVICES.index(rule.weights[0][0])
        service = SERVICES[(place + 1) % len(SERVICES)]
        self._rules[name] = attrs.evolve(rule, weights=((service, 1),))
        self.recent.append(name)

    def _split(self) -> None:
        pair = self._rng.sample(SERVICES, 2)
        weights = tuple((name, self._rng.randint(0, 9) + 1) for name in pair)
        self._rules[SPLIT_ROUTE] = Rule(weights=weights)
        self.recent.append(SPLIT_ROUTE)

    def _change_timeout(self) -> None:
        name = self._rng.choice(sorted(self._rules))
        self._rules[name] = attrs.evolve(
            self._rules[name], timeout_ms=self._rng.randint(900, 2500)
        )

    def _render(self, number: int, rules: Mapping[str, Rule]) -> bytes:
        described = [rule.describe(name) for name, rule in rules.items()]
        document = {
            'version': f'r{number}',
            'limits': dict(_LIMITS),
            'listeners': [{'host': HOST, 'route_rules': described}],
            'clusters': [
                {'name': name, 'health_path': '/health'} for name in SERVICES
            ],
        }
        return json.dumps(document).encode()
