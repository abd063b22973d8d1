"""Test large bodies in pieces between daemons on loopback."""

import attrs
import pytest

from goldcrestwharf.proxy import _assembly
from goldcrestwharf.proxy._body_messages import (
    BodyAhead,
    BodyGrant,
    BodyPiece,
)
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._peer_discovery import make_hello
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._run_messages import Answered, Run
from goldcrestwharf.transfers import PIECE_BYTES
from test.proxy.bulk import (
    BODY,
    SLOW_LINK,
    find_sent,
    find_used_memory,
    is_idle,
    make_bulk,
    upload,
)
from test.proxy.helper import (
    link_to_remote,
    open_vms,
    send_request,
    wait_until,
)


async def test_large_bodies_are_carried_in_pieces_both_ways(
    sent: list[object],
) -> None:
    async with open_vms(2, make_bulk()) as vms:
        entry, remote = await link_to_remote(vms)
        response = await send_request(entry, upload())
        assert remote.target.runs[0].body == BODY
        await wait_until(lambda: is_idle(entry) and is_idle(remote))
        assert not find_used_memory(remote)
        assert not find_used_memory(entry)
    assert response.body == b'done %b' % BODY
    pieces = find_sent(sent, BodyPiece)
    assert len(pieces) >= 2 * len(BODY) / PIECE_BYTES
    assert len(find_sent(sent, BodyAhead)) == 2
    for message in find_sent(sent, Run) + find_sent(sent, Answered):
        assert isinstance(message, Run | Answered)
        assert not message.body


async def test_body_stays_on_the_target_beside_the_entry_if_it_is_free(
    sent: list[object],
) -> None:
    async with open_vms(2, make_bulk(), zones=('zone-a',)) as vms:
        entry, _ = await link_to_remote(vms)
        entry.send_heartbeat()
        for number in range(20):
            await send_request(entry, upload(request_id=f'r-{number}'))
        assert len(entry.target.runs) == 20
    assert not sent


async def test_bodies_stay_whole_without_a_bulk_route(
    sent: list[object],
) -> None:
    snapshot = attrs.evolve(make_bulk(), has_bulk_routes=False)
    async with open_vms(2, snapshot) as vms:
        entry, _ = await link_to_remote(vms)
        response = await send_request(entry, upload())
    assert response.body == b'done %b' % BODY
    assert {type(message) for message in sent} == {Run, Answered}


async def test_peer_without_the_capability_gets_whole_bodies(
    sent: list[object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A daemon of an earlier release neither sends nor takes pieces."""

    def make_earlier_hello(core: Core, wanted: str = '') -> Hello:
        hello = make_hello(core, wanted)
        return attrs.evolve(hello, features=0)

    monkeypatch.setattr(_assembly, 'make_hello', make_earlier_hello)
    async with open_vms(2, make_bulk()) as vms:
        entry, _ = await link_to_remote(vms)
        response = await send_request(entry, upload())
    assert response.body == b'done %b' % BODY
    assert {type(message) for message in sent} == {Run, Answered}


def test_hello_of_an_earlier_release_says_no_capability() -> None:
    hello = Hello(
        name='a', process='p', address='', zone='', version=1, digest=b''
    )
    assert not hello.supports(PeerFeature.BODY_PIECES)


async def test_upload_that_cannot_be_in_time_is_refused_before_it_moves(
    sent: list[object],
) -> None:
    """The link takes 1.2 s, so a second later a retry has time enough."""
    async with open_vms(2, make_bulk(), link_rate=SLOW_LINK * 0.42) as vms:
        entry, remote = await link_to_remote(vms)
        response = await send_request(entry, upload(deadline_ms=1000))
        assert not remote.target.runs
    assert response.status == 503
    # What is missing, once to twice; the route's objective is 5 s.
    assert 0.2 < float(response.find(b'retry-after') or 0) < 0.7
    assert not find_sent(sent, BodyGrant)
    assert not find_sent(sent, BodyPiece)


async def test_stream_that_is_busy_with_pieces_is_not_suspect(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The body takes several times the silence after which one is closed."""
    caplog.set_level('INFO')
    async with open_vms(2, make_bulk(), link_rate=SLOW_LINK / 5) as vms:
        entry, remote = await link_to_remote(vms)
        response = await send_request(entry, upload())
        assert remote.target.runs[0].body == BODY
    assert response.status == 200
    events = {record.message for record in caplog.records}
    assert not events & {'peer.suspect', 'peer.silent', 'peer.lost'}
