"""Measure what the rules cost that all daemons on the platform keep together.

Prints one JSON line: bytes of the messages, bytes of memory of the state and
microseconds of processor time of the decisions.
"""

import json
import random
import time
import timeit
import tracemalloc
from collections.abc import Callable

from goldcrestwharf.admission import RateLimit
from goldcrestwharf.discovery import Departures
from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._codec import pack
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.proxy._document_messages import VersionUpdate
from goldcrestwharf.proxy._peer_messages import TargetHint, TargetState

_ROUNDS = 20_000
_DEPARTURES = 4096
_MICROSECONDS = 1_000_000
_HEAD = (
    b'GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41d07b\r\n'
    b'Accept: */*\r\nCaller-Service: kitchen\r\n'
)
_BODY = b'x' * 400
_REPORT = (3, 10, 60, 0)
_INSTANCE = 'i-7f3a91c2ab'
_STARTED_MS = 1_764_839_777_000


def _make_exchange(sent: list[CrashReports]) -> CrashExchange:
    exchange = CrashExchange(
        names=HeaderNames(), clock=lambda: 1, rng=random.Random(1)
    )
    exchange.watch(sent.append)
    return exchange


def _measure_sizes() -> dict[str, int]:
    reports: list[CrashReports] = []
    exchange = _make_exchange(reports)
    suspects = exchange.find_fingerprints(_HEAD, _BODY)
    for _ in range(3):
        exchange.record_crash(_INSTANCE, frozenset(suspects))
    state = TargetState(
        service='kitchen',
        instance_id=_INSTANCE,
        is_draining=False,
        slow_start_ms=0,
        report=list(_REPORT),
        started_ms=_STARTED_MS,
        limit=54.8,
    )
    hint = TargetHint(
        instance_id=_INSTANCE,
        started_ms=_STARTED_MS,
        limit=54.8,
        is_leaving=True,
    )
    update = VersionUpdate(version=400, reads_store=True, store_epoch=3)
    return {
        'crash_report_bytes': len(pack(reports[-1])),
        'target_state_bytes': len(pack(state)),
        'target_hint_bytes': len(pack(hint)),
        'epoch_update_bytes': len(pack(update)),
    }


def _measure_memory() -> int:
    departures = Departures(drain_timeout=2, clock=lambda: 1)
    tracemalloc.start()
    for number in range(_DEPARTURES):
        departures.record((f'i-{number}', _STARTED_MS + number))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _time(statement: Callable[[], object]) -> float:
    seconds = timeit.timeit(statement, number=_ROUNDS)
    return round(seconds / _ROUNDS * _MICROSECONDS, 2)


def _measure_times() -> dict[str, float]:
    idle = _make_exchange([])
    watching = _make_exchange([])
    watching.record_crash(_INSTANCE, frozenset(('0' * 32,)))
    rate = RateLimit(clock=time.monotonic)
    free_us = _time(rate.try_take)
    rate.apply(50)
    return {
        'quarantine_check_without_reports_us': _time(
            lambda: idle.find_refusal(_HEAD, _BODY)
        ),
        'quarantine_check_with_reports_us': _time(
            lambda: watching.find_refusal(_HEAD, _BODY)
        ),
        'rate_without_limit_us': free_us,
        'rate_with_limit_us': _time(rate.try_take),
    }


def main() -> None:
    """Measure all once."""
    print(
        json.dumps(
            {
                **_measure_sizes(),
                'departures_4096_bytes': _measure_memory(),
                **_measure_times(),
            },
        ),
    )


if __name__ == '__main__':
    main()
