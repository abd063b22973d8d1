"""Check when a planned stop takes a daemon for idle."""

import asyncio
import itertools
from types import SimpleNamespace
from typing import cast

from goldcrestwharf.proxy._daemon import Activity, ProxyDaemon
from goldcrestwharf.proxy._shutdown import _finish


async def test_stop_ends_on_a_machine_whose_checks_are_always_late() -> None:
    """It would last until its limit, and risk the end by a signal."""
    now = itertools.count(step=0.12)
    daemon = SimpleNamespace(
        core=SimpleNamespace(clock=lambda: next(now)),
        activity=lambda: Activity(in_flight=0, unsent=0, last_request_at=-9),
    )
    async with asyncio.timeout(15):
        await _finish(cast(ProxyDaemon, daemon), 0)
    assert next(now) < 4
