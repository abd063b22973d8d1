"""Test that the answers kept for other daemons take bounded memory."""

import attrs

from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy._outcomes import Lost, Ran
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import Vm, link_to_remote, open_vms, render, send_request

BODY = b'x' * 500_000


def answer_at_length(req: Request) -> Answer:
    request_id = req.find(b'request-id') or b''
    return Answer(
        status=200,
        head=b'Request-Id: %b\r\nAnswer-Proof: p\r\n' % request_id,
        body=BODY,
    )


def count_kept(vm: Vm, kind: type) -> int:
    """Count the ended requests of other daemons with a kind of outcome."""
    sessions = vm.daemon._sessions
    context = sessions._run_context
    ended = context.ledger._ended.values()
    replies = [record.outcome for record in ended if record.outcome]
    return sum(isinstance(reply.outcome, kind) for reply in replies)


async def test_large_answers_are_kept_within_the_memory() -> None:
    """Of 32 MB of memory, two are for answers that may be asked for again."""
    snapshot = make_snapshot(1, make_route(is_repeatable=False, timeout=5))
    async with open_vms(2, snapshot) as vms:
        remote = vms[1]
        remote._cfg = attrs.evolve(remote._cfg, memory_bytes=32_000_000)
        await remote.restart()
        remote.add_peer(vms[0])
        remote.target.answer = answer_at_length
        entry, _ = await link_to_remote(vms)
        for number in range(8):
            request_id = f'r-{number}'
            response = await send_request(
                entry,
                render(method='POST', request_id=request_id, deadline_ms=4000),
            )
            assert response.body == BODY
        assert count_kept(remote, Lost) == 5
        assert count_kept(remote, Ran) == 3
