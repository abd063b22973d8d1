"""Scenes of targets under load, after what is known of targets."""

from types import MappingProxyType

import attrs

from test.capacity.target_model import Scene


def slow_from_four(level: int) -> float:
    return 1 + 0.5 * max(level - 4, 0)


SCENES = MappingProxyType(
    {
        'a': Scene(),
        'b': Scene(slowdown=slow_from_four),
        'c': Scene(factor=lambda _: 2),
        'd': Scene(factor=lambda now: 2.5 if now % 7 < 0.6 else 1),
        'e': Scene(factor=lambda now: 5 if now % 40 > 34 else 1),
        'f': Scene(call_time=lambda now: 0.8 if now % 30 > 20 else 0.05),
        'g': Scene(factor=lambda now: 2 if now < 3 else 1, cold_until=3),
        'h': Scene(mix=lambda now: 2.5 if now % 12 > 6 else 0.3),
    }
)


def make_scene(name: str, slots: int, load: float) -> Scene:
    return attrs.evolve(SCENES[name], slots=slots, load=load)
