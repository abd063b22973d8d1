"""Random delays, stalls and restarts, with a random limit and load."""

import random

import attrs

from goldcrestwharf.quotas import rank_names
from test.quotas.delayed_mesh import NAMES, WORKSPACE, Conditions, Delay, Stall

BEGINS_S = 3.0
RANDOM_ENDS_S = 13.0

#: One-way delay of a daemon that isn't slow, in seconds.
SHORT_DELAY_S = 0.002

#: Daemons that may restart: the first ones in the order of the workspace.
COORDINATORS = rank_names(WORKSPACE, NAMES)[:3]


@attrs.frozen(kw_only=True)
class RandomCase:
    """Limit, load and what disturbs the daemons.

    ``patience`` has for each caller of an entry whether it returns as told.
    """

    rate: float
    burst: float
    conditions: Conditions
    patience: tuple[bool, ...]


def make_case(seed: int) -> RandomCase:
    rng = random.Random(seed)
    rate = rng.choice([2, 8, 40, 40, 120, 250])
    burst = rng.choice([0, 0, rate, rate / 2, 2 * rate])
    delay = make_delay(rng, seed)
    stalls = make_stalls(rng)
    if rng.random() < 0.3:
        stalls = add_common_stalls(rng, stalls)
    count = rng.choice([0, 0, 1, 3, 8])
    restarts = [
        (rng.uniform(BEGINS_S, RANDOM_ENDS_S), rng.choice(COORDINATORS))
        for _ in range(count)
    ]
    kinds = rng.choice([(False,), (True,), (False, True)])
    callers = rng.choice([1, 3, 8])
    return RandomCase(
        rate=rate,
        burst=burst,
        conditions=Conditions(
            delay=delay, stalls=stalls, restarts=tuple(sorted(restarts))
        ),
        patience=tuple(kinds[caller % len(kinds)] for caller in range(callers)),
    )


def make_delay(rng: random.Random, seed: int) -> Delay:
    longest = rng.choice([0.004, 0.03, 0.1, 0.2, 0.3])
    delays = random.Random(seed * 7)
    slowness = {
        name: rng.choice([SHORT_DELAY_S, SHORT_DELAY_S, longest])
        for name in NAMES
    }
    return lambda sender, receiver: delays.uniform(
        0, max(slowness[sender], slowness[receiver])
    )


def make_stalls(rng: random.Random) -> tuple[Stall, ...]:
    stalls = []
    for name in NAMES:
        if rng.random() < 0.5:
            continue
        gap = rng.choice([0.1, 0.3, 1])
        length = rng.choice([0.05, 0.2, 0.5, 1.2])
        at = BEGINS_S
        while at < RANDOM_ENDS_S:
            begins = at + rng.uniform(0, 2 * gap)
            at = begins + rng.uniform(0, 2 * length)
            stalls.append(Stall(daemon=name, begins=begins, ends=at))
    return tuple(stalls)


def add_common_stalls(
    rng: random.Random, stalls: tuple[Stall, ...]
) -> tuple[Stall, ...]:
    """Replace the stalls of some daemons by common ones."""
    interval = rng.choice([1, 2, 3])
    length = rng.choice([0.3, 0.9])
    names = rng.sample(NAMES, rng.randint(1, len(NAMES)))
    others = [stall for stall in stalls if stall.daemon not in names]
    begins = range(int(BEGINS_S), int(RANDOM_ENDS_S) - interval + 1, interval)
    common = [
        Stall(daemon=name, begins=at, ends=at + length)
        for at in begins
        for name in names
    ]
    return (*others, *common)
