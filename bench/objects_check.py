"""Measure reading, checking, digesting and changing sets of objects.

Run with ``python -m bench.objects_check``; prints one JSON line per size.
"""

import json
import statistics
import time
from collections.abc import Callable

import attrs

from goldcrestwharf import objects as library
from goldcrestwharf.objects import ObjectSet, digest_of, review_objects

_SIZES = (500, 1000, 2000, 4000)
_RUNS = 5
_MS = 1000


def make_document(services: int) -> bytes:
    """Return a set with one group and two routes for each service."""
    groups = {
        f'pool-{number}': {'slots': 12, 'connections': 130}
        for number in range(services)
    }
    named = {
        f'service-{number}': {
            'target_group': f'pool-{number}',
            'timeout_ms': 1500,
        }
        for number in range(services)
    }
    routes = {
        f'route-{number}-{method}': {
            'host': f's{number}.example',
            'path_prefix': '/menu',
            'methods': [method],
            'service': f'service-{number}',
        }
        for number in range(services)
        for method in ('GET', 'POST')
    }
    return json.dumps(
        {'target_groups': groups, 'services': named, 'routes': routes}
    ).encode()


def time_ms(step: Callable[[], object]) -> dict[str, float]:
    """Return the median and the spread of some runs in milliseconds."""
    taken = []
    for _ in range(_RUNS):
        begin = time.perf_counter()
        step()
        taken.append((time.perf_counter() - begin) * _MS)
    return {
        'median_ms': round(statistics.median(taken), 2),
        'least_ms': round(min(taken), 2),
        'most_ms': round(max(taken), 2),
    }


def change_one(objects: ObjectSet) -> ObjectSet:
    """Return the set with one route changed."""
    name = 'route-0-GET'
    changed = attrs.evolve(objects.routes[name], path_prefix='/card')
    return attrs.evolve(objects, routes={**objects.routes, name: changed})


def make_steps(raw: bytes) -> dict[str, Callable[[], object]]:
    """Return what is timed, by its name."""
    objects = review_objects(raw).objects
    assert objects is not None
    changed = change_one(objects)
    packed = library.encode_objects(objects)
    delta = library.diff(objects, changed)
    # The digests of the objects are computed once and kept.
    digest_of(objects)
    return {
        'read_and_check': lambda: review_objects(raw),
        'check': lambda: library.check_objects(objects),
        'check_one_change': lambda: library.check_objects(
            changed, accepted=objects
        ),
        'encode': lambda: library.encode_objects(objects),
        'decode': lambda: library.decode_objects(packed),
        'decode_and_digest': lambda: digest_of(library.decode_objects(packed)),
        'diff': lambda: library.diff(objects, changed),
        'apply_one_change': lambda: library.apply_delta(objects, delta),
        'digest_one_change': lambda: digest_of(
            library.apply_delta(objects, delta)
        ),
    }


def measure_bytes(raw: bytes) -> dict[str, int]:
    """Return the sizes of a set and of a change of one route."""
    objects = review_objects(raw).objects
    assert objects is not None
    delta = library.diff(objects, change_one(objects))
    return {
        'document_bytes': len(raw),
        'snapshot_bytes': len(library.encode_objects(objects)),
        'delta_bytes': len(library.encode_delta(delta)),
    }


def measure(size: int) -> dict[str, object]:
    """Return all figures of one size."""
    raw = make_document(size)
    steps = make_steps(raw)
    taken = {name: time_ms(step) for name, step in steps.items()}
    return {'size': size, **measure_bytes(raw), **taken}


def main() -> None:
    """Print one line per size."""
    for size in _SIZES:
        print(json.dumps({'bench': 'objects_check', **measure(size)}))


if __name__ == '__main__':
    main()
