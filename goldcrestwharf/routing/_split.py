"""Traffic split of a service among target groups."""

import random

from goldcrestwharf.objects import Service

_PERCENT = 100


def choose_group(service: Service, rng: random.Random) -> str:
    """Return the name of the target group for one request.

    Each group in the service's split gets its percentage and the service's
    default group the rest. All attempts of a request go to one group.
    """
    drawn = rng.random() * _PERCENT
    for name, percent in service.split.items():
        drawn -= percent
        if drawn < 0:
            return name
    return service.target_group
