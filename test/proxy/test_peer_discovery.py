"""Test how daemons discover and stay linked to each other."""

import asyncio

import attrs

from goldcrestwharf.discovery import DaemonRecord, ReportedRecord
from goldcrestwharf.proxy._link import PeerLink
from test.proxy.helper import (
    find_link,
    free_address,
    is_linked,
    link_to_remote,
    open_vm,
    open_vms,
    render,
    send_request,
    wait_until,
)


async def test_new_daemons_link_to_each_other_through_one_known_peer() -> None:
    async with open_vms(4) as vms:
        for vm in vms:
            vm.send_heartbeat()
        await wait_until(
            lambda: all(
                is_linked(one, f'vm-{number}')
                for own_number, one in enumerate(vms)
                for number in range(4)
                if number != own_number
            ),
        )


async def test_reused_address_replaces_the_daemon_that_had_it() -> None:
    """The directory has a lost daemon at an address that was reused."""
    async with open_vm() as entry, open_vm(prefix='successor') as successor:
        core = entry.daemon.core
        lost = DaemonRecord(
            name='lost',
            address=successor.daemon.core.cfg.peers,
            zone='zone-a',
        )
        core.directory.record_report(ReportedRecord(record=lost), core.clock())
        entry.daemon.handle_directory_change()
        successor.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'successor-0'))
        await wait_until(lambda: find_link(entry, 'lost') is None)
        known = [record.name for record in core.directory.records()]
    assert known == ['successor-0']


async def test_dial_for_another_daemon_does_not_replace_the_stream() -> None:
    async with open_vms(2) as vms:
        entry = (await link_to_remote(vms))[0]
        link = find_link(entry, 'vm-1')
        assert link is not None
        other = PeerLink(
            record=attrs.evolve(link.opener.record, name='lost'),
            context=link.context,
        )
        dialing = asyncio.create_task(other.run())
        stream = link._stream
        # By then the dial has been answered and closed.
        await wait_until(lambda: other.opener.opening is not None)
        await wait_until(lambda: not (other.opener.opening or stream).is_open)
        response = await send_request(entry, render())
        dialing.cancel()
    assert response.status == 200
    assert link._stream is stream


async def test_new_daemon_links_to_all_peers_of_a_seed() -> None:
    async with open_vms(3) as vms, open_vm(prefix='new') as newcomer:
        cfg = vms[2].daemon.core.cfg
        await newcomer.daemon.contact_seeds((free_address(), cfg.peers))
        for vm in vms:
            vm.send_heartbeat()
        await wait_until(
            lambda: all(is_linked(newcomer, f'vm-{one}') for one in range(3)),
        )
