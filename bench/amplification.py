"""Count the tries at the last of 17 hops while its targets fail.

Prints one JSON line for each way that a failure shows at the hop before:
as a whole answer with an error, or as a broken connection.
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
_SECONDS_BETWEEN = 0.01
_SEEDS = (1, 2, 3)
_DEPTHS = (5, 11, _DEPTH)


class _Clock(ManualTimers):
    """Advance without an event loop."""

    def skip(self, seconds: float) -> None:
        """Move the clock."""
        self._now += seconds


@attrs.define(kw_only=True)
class Chain:
    """Call hop after hop, each with a retry budget of its own."""

    depth: int
    breaks_connections: bool
    rng: random.Random
    timers: _Clock = attrs.field(factory=_Clock)
    tries: int = 0
    budgets: list[limits.RetryBudget] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the budgets."""
        self.budgets = [
            limits.RetryBudget(percent=10, timers=self.timers)
            for _ in range(self.depth)
        ]

    def call(self, hop: int, retries_before: int) -> bool:
        """Call a hop's service; tell whether a whole answer came back."""
        policy = limits.RetryPolicy(budget=self.budgets[hop])
        policy.record_request(retries_before=retries_before)
        tries = 0
        retries = retries_before
        while True:
            tries += 1
            if self._run(hop, retries):
                return True
            decided = policy.decide(
                limits.Attempt(
                    outcome=limits.AttemptOutcome.UNKNOWN,
                    attempts=tries,
                    max_attempts=2,
                    is_repeatable=True,
                    remaining=1,
                    retries_before=retries_before,
                ),
            )
            if isinstance(decided, limits.Stop):
                return False
            retries = decided.retries

    def _run(self, hop: int, retries: int) -> bool:
        if hop == self.depth - 1:
            self.tries += 1
            return False
        is_answered = self.call(hop + 1, retries)
        return is_answered or not self.breaks_connections


def count_naive(hops: int) -> int:
    """Return the tries at the last hop if each hop tries twice."""
    return 2 * count_naive(hops - 1) if hops else 1


def measure(depth: int, *, breaks_connections: bool, seed: int) -> float:
    """Return the tries at the last hop for each request."""
    chain = Chain(
        depth=depth,
        breaks_connections=breaks_connections,
        rng=random.Random(seed),
    )
    for _ in range(_REQUESTS):
        chain.call(0, 0)
        chain.timers.skip(chain.rng.expovariate(1 / _SECONDS_BETWEEN))
    return chain.tries / _REQUESTS


def report(depth: int, *, breaks_connections: bool) -> None:
    """Print the figures of one depth."""
    counts = [
        measure(depth, breaks_connections=breaks_connections, seed=seed)
        for seed in _SEEDS
    ]
    found = (statistics.median(counts), min(counts), max(counts))
    line = {
        'bench': 'decisions.amplification',
        'size': depth,
        'shows_as': 'broken' if breaks_connections else 'answer',
        'decided_tries': [round(count, 3) for count in found],
        'naive_tries': count_naive(depth),
    }
    print(json.dumps(line))


def main() -> None:
    """Print all figures."""
    for depth in _DEPTHS:
        report(depth, breaks_connections=False)
        report(depth, breaks_connections=True)


if __name__ == '__main__':
    sys.exit(main())
