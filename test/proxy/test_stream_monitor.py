"""Check what the monitor of the streams does after pauses."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from goldcrestwharf.proxy import _stream_monitor
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet


@pytest.mark.parametrize(
    ('pause', 'expected'), [(0, {'fleet', 'incoming', 'local'}), (1, {'local'})]
)
async def test_daemon_whose_every_round_is_late_still_checks_its_roles(
    monkeypatch: pytest.MonkeyPatch, pause: float, expected: set[str]
) -> None:
    """It would neither read first nor ask other zones for a version."""
    monkeypatch.setattr(_stream_monitor, '_CHECK_INTERVAL_S', 0)
    called: set[str] = set()
    core = SimpleNamespace(
        clock=lambda: 5,
        pauses=SimpleNamespace(
            find_pause=lambda: pause,
            find_processor_time=float,
            record_activity=lambda: called.add('active'),
        ),
        directory=SimpleNamespace(expire=lambda now: range(now - 5)),
    )
    monitoring = asyncio.create_task(
        _stream_monitor.monitor_streams(
            cast(Core, core),
            cast(Fleet, SimpleNamespace(check=lambda _: called.add('fleet'))),
            lambda _: called.add('incoming'),
            lambda _: called.add('local'),
        )
    )
    for _ in range(10):
        await asyncio.sleep(0)
    monitoring.cancel()
    assert called == {'active', *expected}
