"""Measure reading, checking, digesting and changing object sets.

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
_RUN_COUNT = 5
_MS_PER_S = 1000


def make_document(services: int) -> bytes:
    """Return a document with one group and two routes for each service."""
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


def time_ms(operation: Callable[[], object]) -> dict[str, float]:
    """Return the median, the lowest and the highest time of several runs."""
    durations_ms = []
    for _ in range(_RUN_COUNT):
        started_at = time.perf_counter()
        operation()
        durations_ms.append((time.perf_counter() - started_at) * _MS_PER_S)
    return {
        'median_ms': round(statistics.median(durations_ms), 2),
        'least_ms': round(min(durations_ms), 2),
        'most_ms': round(max(durations_ms), 2),
    }


def change_one(objects: ObjectSet) -> ObjectSet:
    """Return the set with one route changed."""
    name = 'route-0-GET'
    changed = attrs.evolve(objects.routes[name], path_prefix='/card')
    return attrs.evolve(objects, routes={**objects.routes, name: changed})


def make_operations(raw: bytes) -> dict[str, Callable[[], object]]:
    """Return the operations to measure, by name."""
    objects = review_objects(raw).objects
    assert objects is not None
    changed = change_one(objects)
    encoded = library.encode_objects(objects)
    delta = library.diff(objects, changed)
    # The digests of the objects are computed once and cached.
    digest_of(objects)
    return {
        'read_and_check': lambda: review_objects(raw),
        'check': lambda: library.check_objects(objects),
        'check_one_change': lambda: library.check_objects(
            changed, accepted=objects
        ),
        'encode': lambda: library.encode_objects(objects),
        'decode': lambda: library.decode_objects(encoded),
        'decode_and_digest': lambda: digest_of(library.decode_objects(encoded)),
        'diff': lambda: library.diff(objects, changed),
        'apply_one_change': lambda: library.apply_delta(objects, delta),
        'digest_one_change': lambda: digest_of(
            library.apply_delta(objects, delta)
        ),
    }


def measure_bytes(raw: bytes) -> dict[str, int]:
    """Return the sizes of an object set and of a change of one route."""
    objects = review_objects(raw).objects
    assert objects is not None
    delta = library.diff(objects, change_one(objects))
    return {
        'document_bytes': len(raw),
        'snapshot_bytes': len(library.encode_objects(objects)),
        'delta_bytes': len(library.encode_delta(delta)),
    }


def measure(size: int) -> dict[str, object]:
    """Return all results of one size."""
    raw = make_document(size)
    operations = make_operations(raw)
    durations_ms = {
        name: time_ms(operation) for name, operation in operations.items()
    }
    return {'size': size, **measure_bytes(raw), **durations_ms}


def main() -> None:
    """Print one line per size."""
    for size in _SIZES:
        print(json.dumps({'bench': 'objects_check', **measure(size)}))


if __name__ == '__main__':
    main()
