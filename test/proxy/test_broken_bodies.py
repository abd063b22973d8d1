"""Test large bodies whose transfer ends early."""

import asyncio
from collections import Counter

import pytest

from goldcrestwharf.admission import DispatchState, Refusal, RefusalReason
from goldcrestwharf.proxy._body_messages import BodyPiece
from goldcrestwharf.transfers import PIECE_BYTES
from test.proxy.bulk import (
    BODY,
    SLOW_LINK,
    answer_at_length,
    break_stream,
    download,
    find_sent,
    find_used_memory,
    is_halfway,
    is_idle,
    make_bulk,
    upload,
)
from test.proxy.helper import (
    is_linked,
    link_to_remote,
    open_vms,
    send_request,
    wait_until,
)


@pytest.mark.parametrize('is_repeatable', [True, False])
async def test_attempt_whose_upload_breaks_off_never_runs(
    is_repeatable: bool,
) -> None:
    snapshot = make_bulk(is_repeatable=is_repeatable)
    async with open_vms(2, snapshot, link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms)
        task = asyncio.create_task(send_request(entry, upload()))
        await wait_until(lambda: is_halfway(remote))
        break_stream(entry)
        response = await task
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        await wait_until(lambda: remote.daemon.activity().in_flight == 0)
        ledger = remote.daemon._sessions._run_context.ledger
        record = ledger.inquire((entry.daemon.core.process, 1))
        assert is_idle(entry)
        assert is_idle(remote)
        assert not remote.target.runs
        assert not find_used_memory(remote)
    # Refused, as it has certainly not run.
    assert response.status == 503
    assert record.state is DispatchState.FORBIDDEN
    assert record.outcome is not None
    assert isinstance(record.outcome.outcome, Refusal)
    assert record.outcome.outcome.reason is RefusalReason.NOT_SENT


async def test_attempt_whose_upload_breaks_off_runs_on_another_target() -> None:
    snapshot = make_bulk(is_repeatable=False)
    async with open_vms(3, snapshot, link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms[:2])
        other = vms[2]
        task = asyncio.create_task(send_request(entry, upload()))
        await wait_until(lambda: is_halfway(remote))
        other.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-2'))
        break_stream(entry)
        response = await task
        assert not remote.target.runs
        assert [run.body for run in other.target.runs] == [BODY]
    assert response.status == 200


async def test_answer_whose_stream_breaks_is_asked_for_and_comes_whole() -> (
    None
):
    snapshot = make_bulk(is_repeatable=False)
    async with open_vms(2, snapshot, link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.answer = answer_at_length
        task = asyncio.create_task(send_request(entry, download()))
        await wait_until(lambda: is_halfway(entry))
        break_stream(entry)
        response = await task
        assert len(remote.target.runs) == 1
        await wait_until(lambda: is_idle(entry) and is_idle(remote))
        assert not find_used_memory(remote)
        assert not find_used_memory(entry)
    assert response.status == 200
    assert response.body == BODY


async def test_part_of_an_answer_is_dropped_when_its_daemon_is_lost() -> None:
    snapshot = make_bulk(is_repeatable=False)
    async with open_vms(2, snapshot, link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.answer = answer_at_length
        task = asyncio.create_task(send_request(entry, download()))
        await wait_until(lambda: is_halfway(entry))
        remote.daemon.close()
        await wait_until(lambda: is_idle(entry))
        assert not find_used_memory(entry)
        # A new stream could still bring the answer for a second.
        assert not task.done()
        response = await task
    assert response.status == 502
    assert not response.body


async def test_answer_of_a_repeatable_request_is_never_handed_out_in_part() -> (
    None
):
    async with open_vms(2, make_bulk(), link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.answer = answer_at_length
        task = asyncio.create_task(send_request(entry, download()))
        await wait_until(lambda: is_halfway(entry))
        remote.target.answer = remote.target.succeed
        break_stream(entry)
        response = await task
        await wait_until(lambda: is_idle(entry) and is_idle(remote))
    assert response.status in {502, 503}
    assert not response.body


@pytest.mark.parametrize('is_upload', [True, False])
async def test_transfer_of_a_cancelled_attempt_stops(
    is_upload: bool, sent: list[object], in_transit: Counter[str]
) -> None:
    async with open_vms(2, make_bulk(), link_rate=SLOW_LINK) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.answer = answer_at_length
        message = upload() if is_upload else download()
        task = asyncio.create_task(send_request(entry, message))
        receiver = remote if is_upload else entry
        await wait_until(lambda: is_halfway(receiver))
        task.cancel()
        await wait_until(lambda: is_idle(entry) and is_idle(remote))
        await wait_until(lambda: remote.daemon.activity().in_flight == 0)
        assert len(remote.target.runs) == int(not is_upload)
        assert not find_used_memory(remote)
    assert len(find_sent(sent, BodyPiece)) < len(BODY) / PIECE_BYTES
    assert set(in_transit) == {'in', 'out'}
    assert not any(in_transit.values())
