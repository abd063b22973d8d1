"""Test that a version is fetched elsewhere once its source can't answer."""

import math
from collections.abc import Callable

import pytest

from goldcrestwharf.proxy._link import PeerLink
from test.policy.helper import make_snapshot
from test.proxy.helper import Vm, find_link, open_vms, wait_until
from test.proxy.test_silent_streams import silence_streams

LIVENESS = 'goldcrestwharf.proxy._liveness'
SCHEDULE = 'goldcrestwharf.discovery._fetch_schedule'


def close(lost: Vm, _daemon: Vm) -> None:
    lost.daemon.close()


def silence(lost: Vm, _daemon: Vm) -> None:
    silence_streams(lost)


def replace_stream(lost: Vm, daemon: Vm) -> None:
    for link in find_up(daemon, lost):
        link.opener.reopen()


@pytest.fixture(autouse=True)
def endless_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Neither a fetch nor a silent stream ends by its timeout."""
    monkeypatch.setattr(f'{SCHEDULE}._FETCH_TIMEOUT_S', math.inf)
    monkeypatch.setattr(f'{LIVENESS}.SILENCE_TIMEOUT_S', math.inf)
    monkeypatch.setattr(f'{LIVENESS}.IDLE_PING_INTERVAL_S', 0.05)


@pytest.mark.parametrize('lose', [close, silence, replace_stream])
async def test_fetch_is_repeated_when_its_source_is_lost(
    lose: Callable[[Vm, Vm], None],
) -> None:
    async with open_vms(3, make_snapshot(3)) as vms:
        source, lost, daemon = vms
        await wait_until(lambda: bool(find_up(daemon, source, lost)))
        source.holder.offer(make_snapshot(5))
        # No daemon answers a fetch of what it doesn't have.
        exchange = daemon.daemon.core.config_exchange
        for link in find_up(daemon, lost, source):
            exchange.handle_version(link, 5)
        lose(lost, daemon)
        await wait_until(lambda: bool(daemon.offered))


def find_up(daemon: Vm, *others: Vm) -> list[PeerLink]:
    """Return the links to other daemons, none unless all are up."""
    found = [find_link(daemon, vm.daemon.core.cfg.name) for vm in others]
    links = [link for link in found if link is not None and link.is_up]
    return links if len(links) == len(others) else []
