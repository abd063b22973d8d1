"""Requests with large bodies between daemons on loopback, for tests."""

import attrs

from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.proxy._transfers import Transfers
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import Vm, find_link, render

BODY = bytes(range(256)) * 800
DEADLINE_MS = 10_000

#: Rate at which a body takes 0.6 s, so that a test can interrupt it.
SLOW_LINK = 425_000


def make_bulk(*, is_repeatable: bool = True) -> PolicySnapshot:
    route = make_route(
        is_repeatable=is_repeatable, is_bulk=True, timeout=10, objective=5
    )
    return attrs.evolve(make_snapshot(1, route), has_bulk_routes=True)


def find_sent(sent: list[object], kind: type) -> list[object]:
    return [message for message in sent if isinstance(message, kind)]


def upload(request_id: str = 'r-1', deadline_ms: int = DEADLINE_MS) -> bytes:
    return render(
        method='POST',
        request_id=request_id,
        deadline_ms=deadline_ms,
        body=BODY,
    )


def download(request_id: str = 'r-1') -> bytes:
    return render(request_id=request_id, deadline_ms=DEADLINE_MS)


def answer_at_length(req: Request) -> Answer:
    request_id = req.find(b'request-id') or b''
    return Answer(
        status=200,
        head=b'Request-Id: %b\r\nAnswer-Proof: p\r\n' % request_id,
        body=BODY,
    )


def find_transfers(vm: Vm) -> Transfers:
    return vm.daemon.core.transfers


def is_idle(vm: Vm) -> bool:
    transfers = find_transfers(vm)
    return not (len(transfers.grants) or len(transfers.queue))


def find_used_memory(vm: Vm) -> int:
    return find_transfers(vm).budget.used


def is_halfway(receiver: Vm) -> bool:
    backlog = find_transfers(receiver).grants.backlog
    return 0 < backlog < 0.7 * len(BODY)


def break_stream(vm: Vm) -> None:
    link = find_link(vm, 'vm-1')
    assert link is not None
    link.close()
