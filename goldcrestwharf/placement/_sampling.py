"""Random samples of the targets that a request could go to."""

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

#: Candidates in a sample.
_SAMPLE_SIZE = 6

#: Most candidates of the local zone in a sample; those of other zones take over
#: if the local ones are full.
_MAX_LOCAL = 4


class Located(Protocol):
    """Something that is in the local zone or not."""

    is_local_zone: bool


_LocatedT = TypeVar('_LocatedT', bound=Located)


def draw_sample(
    located: Sequence[_LocatedT], rng: random.Random
) -> list[_LocatedT]:
    """Return a few random members, most of them of the local zone.

    Daemons that compare all targets by reports of the same age agree on the
    best one, and all send to it until its next report. Each compares a sample
    of its own instead ("the power of two random choices", Mitzenmacher).
    """
    if len(located) <= _SAMPLE_SIZE:
        return list(located)
    local = [one for one in located if one.is_local_zone]
    remote = [one for one in located if not one.is_local_zone]
    size = min(len(local), _MAX_LOCAL if remote else _SAMPLE_SIZE)
    rest = min(len(remote), _SAMPLE_SIZE - size)
    return rng.sample(local, size) + rng.sample(remote, rest)
