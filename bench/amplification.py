"""Count the attempts at the last of up to 17 hops while its targets fail.

Prints one JSON line for each depth and each kind of failure that a hop
returns to the hop before: a complete error response, or a broken connection.
"""

import json
import random
import statistics
import sys

import attrs

from goldcrestwharf import limits
from goldcrestwharf.timers import ManualTimers

_DEPTH = 17
_REQUESTS = 2000
_MEAN_INTERVAL_S = 0.01
_SEEDS = (1, 2, 3)
_DEPTHS = (5, 11, _DEPTH)


class _Clock(ManualTimers):
    """Timers that advance without an event loop."""

    def move_forward(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds


@attrs.define(kw_only=True)
class Chain:
    """A chain of services that call each other, each with a retry budget."""

    depth: int
    is_connection_broken: bool
    rng: random.Random
    timers: _Clock = attrs.field(factory=_Clock)
    attempts: int = 0
    budgets: list[limits.RetryBudget] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the budgets."""
        self.budgets = [
            limits.RetryBudget(percent=10, timers=self.timers)
            for _ in range(self.depth)
        ]

    def call(self, hop: int, retries_before: int) -> bool:
        """Call a hop; return whether a complete response came back."""
        policy = limits.RetryPolicy(budget=self.budgets[hop])
        policy.record_request(retries_before=retries_before)
        attempts = 0
        retries = retries_before
        while True:
            attempts += 1
            if self._run_attempt(hop, retries):
                return True
            decision = policy.decide(
                limits.Attempt(
                    outcome=limits.AttemptOutcome.UNKNOWN,
                    attempts=attempts,
                    max_attempts=2,
                    is_repeatable=True,
                    remaining=1,
                    retries_before=retries_before,
                ),
            )
            if isinstance(decision, limits.Stop):
                return False
            retries = decision.retries

    def _run_attempt(self, hop: int, retries: int) -> bool:
        if hop == self.depth - 1:
            self.attempts += 1
            return False
        is_answered = self.call(hop + 1, retries)
        return is_answered or not self.is_connection_broken


def count_naive_attempts(hops: int) -> int:
    """Return the attempts at the last hop if each hop makes two."""
    return 2 * count_naive_attempts(hops - 1) if hops else 1


def measure(depth: int, *, is_connection_broken: bool, seed: int) -> float:
    """Return the mean attempts at the last hop for each request."""
    chain = Chain(
        depth=depth,
        is_connection_broken=is_connection_broken,
        rng=random.Random(seed),
    )
    for _ in range(_REQUESTS):
        chain.call(0, 0)
        chain.timers.move_forward(chain.rng.expovariate(1 / _MEAN_INTERVAL_S))
    return chain.attempts / _REQUESTS


def report(depth: int, *, is_connection_broken: bool) -> None:
    """Print the results of one depth."""
    counts = [
        measure(depth, is_connection_broken=is_connection_broken, seed=seed)
        for seed in _SEEDS
    ]
    median_and_range = (statistics.median(counts), min(counts), max(counts))
    line = {
        'bench': 'decisions.amplification',
        'size': depth,
        'shows_as': 'broken' if is_connection_broken else 'answer',
        'decided_tries': [round(count, 3) for count in median_and_range],
        'naive_tries': count_naive_attempts(depth),
    }
    print(json.dumps(line))


def main() -> None:
    """Print the results of all depths."""
    for depth in _DEPTHS:
        report(depth, is_connection_broken=False)
        report(depth, is_connection_broken=True)


if __name__ == '__main__':
    sys.exit(main())
