"""Count false suspicions and deaths under packet loss and pauses."""

import json
import logging
import random
from collections import Counter

import anyio

from bench.membership_zone import preload
from test.helper import SEED
from test.membership.network import Daemon, FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

_SIZES = (25, 50, 100)
_LOSSES = (0.01, 0.05, 0.1)
_DURATION_S = 30
_PAUSE_S = 5


class EventCounter(logging.Handler):
    """Count log records by the name of their event."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.counts: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Count one record."""
        event = record.getMessage().split()[0]
        self.counts[event] += 1


async def pause_daemons(timers: SteppedTimers, daemons: list[Daemon]) -> None:
    """Pause one random daemon after another."""
    rng = random.Random(SEED)
    while True:
        gate = rng.choice(daemons).gate
        gate.freeze()
        await timers.sleep(_PAUSE_S)
        gate.thaw()
        await timers.sleep(1)


async def measure(size: int, loss: float, is_pausing: bool) -> float:
    """Run one zone with a fault; return the mean count of members not alive."""
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, size)
        preload(daemons)
        await timers.advance(2)
        network.faults.loss = loss
        if is_pausing:
            tg.start_soon(pause_daemons, timers, daemons)
        await timers.advance(_DURATION_S)
        views = [len(one.alive()) for one in daemons]
        tg.cancel_scope.cancel()
    return size - sum(views) / len(views)


def run(size: int, loss: float, is_pausing: bool) -> None:
    """Print the results of one size and fault."""
    counter = EventCounter()
    log = logging.getLogger('goldcrestwharf.membership')
    log.setLevel(logging.INFO)
    log.propagate = False
    log.addHandler(counter)
    not_alive = anyio.run(measure, size, loss, is_pausing)
    log.removeHandler(counter)
    measurements = {
        'bench': 'membership_faults',
        'size': size,
        'loss': loss,
        'pauses_of_5_s': is_pausing,
        'seconds': _DURATION_S,
        'suspicions_raised': counter.counts['member.suspected'],
        'deaths_declared': counter.counts['member.dead'],
        'not_alive_at_end': round(not_alive, 2),
    }
    print(json.dumps(measurements), flush=True)


def main() -> None:
    """Print one line for each size and fault."""
    for size in _SIZES:
        for loss in _LOSSES:
            run(size, loss, is_pausing=False)
        run(size, 0, is_pausing=True)


if __name__ == '__main__':
    main()
