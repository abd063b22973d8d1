"""Test how daemons find each other, and keep to whom they found."""

import asyncio

import attrs

from goldcrestwharf.discovery import DaemonRecord, ToldRecord
from goldcrestwharf.proxy._link import PeerLink
from test.proxy.helper import (
    ask,
    find_link,
    free_address,
    is_linked,
    open_far,
    open_vm,
    open_vms,
    render,
    wait_until,
)


async def test_newcomer_is_known_to_all_through_one_daemon() -> None:
    async with open_vms(4) as vms:
        for vm in vms:
            vm.beat()
        await wait_until(
            lambda: all(
                is_linked(one, f'vm-{number}')
                for mine, one in enumerate(vms)
                for number in range(4)
                if number != mine
            ),
        )


async def test_address_that_was_given_on_keeps_its_stream() -> None:
    """A daemon that is gone was told to be where another is now."""
    async with open_vm() as entry, open_vm(prefix='heir') as heir:
        core = entry.daemon.core
        ghost = DaemonRecord(
            name='ghost',
            address=heir.daemon.core.cfg.peers,
            zone='zone-a',
        )
        core.directory.note_told(ToldRecord(record=ghost), core.clock())
        entry.daemon.note_daemons()
        heir.beat()
        await wait_until(lambda: is_linked(entry, 'heir-0'))
        await wait_until(lambda: find_link(entry, 'ghost') is None)
        known = [record.name for record in core.directory.records()]
    assert known == ['heir-0']


async def test_dial_for_another_daemon_leaves_the_stream_alone() -> None:
    async with open_vms(2) as vms:
        entry = (await open_far(vms))[0]
        link = find_link(entry, 'vm-1')
        assert link is not None
        lost = PeerLink(
            record=attrs.evolve(link.record, name='ghost'),
            context=link.context,
        )
        dialing = asyncio.create_task(lost.run())
        stream = link._stream
        # The ghost's dial has been answered and closed by then.
        await wait_until(lambda: lost._opening is not None)
        await wait_until(lambda: not (lost._opening or stream).is_open)
        response = await ask(entry, render())
        dialing.cancel()
    assert response.status == 200
    assert link._stream is stream


async def test_newcomer_meets_all_through_a_seed() -> None:
    async with open_vms(3) as vms, open_vm(prefix='new') as newcomer:
        cfg = vms[2].daemon.core.cfg
        await newcomer.daemon.meet((free_address(), cfg.peers))
        for vm in vms:
            vm.beat()
        await wait_until(
            lambda: all(is_linked(newcomer, f'vm-{one}') for one in range(3)),
        )
