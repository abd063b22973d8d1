"""Check the interface to callers: limits, malformed requests and spans."""

import attrs
import pytest
from opentelemetry.sdk.trace import TracerProvider

from goldcrestwharf.hops import HopsSettings, _tracing
from goldcrestwharf.membership import TargetState
from test.hops.mesh import open_mesh

CFG = HopsSettings(
    max_body_bytes=100,
    max_header_bytes=500,
    max_headers=9,
    max_path_bytes=40,
)
TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
TRACEPARENT = f'00-{TRACE_ID}-b7ad6b7169203331-01'.encode()


@pytest.mark.parametrize(
    ('request_parts', 'status'),
    [
        pytest.param({'body': bytes(101)}, 413, id='body'),
        pytest.param(
            {'headers': ((b'content-length', b'101'),)},
            413,
            id='stated length',
        ),
        pytest.param(
            {'path': '/menu/123456789012345678901234567890123456'},
            414,
            id='path',
        ),
        pytest.param({'path': 'menu'}, 400, id='no slash'),
        pytest.param(
            {'headers': ((b'x-a', bytes(500)),)},
            431,
            id='large header',
        ),
        pytest.param(
            {'headers': tuple((b'x-%d' % one, b'') for one in range(9))},
            431,
            id='many headers',
        ),
        pytest.param(
            {'method': 'POST', 'headers': ((b'idempotency-key', b''),)},
            400,
            id='empty key',
        ),
        pytest.param({'path': '/other'}, 404, id='no route'),
    ],
)
async def test_request_beyond_a_limit_is_rejected_as_not_run(
    request_parts: dict[str, object],
    status: int,
) -> None:
    async with open_mesh(cfg=CFG) as mesh:
        reply = await mesh.send_until_answered(**request_parts)
        assert (reply.status, reply.outcome) == (status, 'not-run')
        assert not mesh.target.seen


async def test_largest_allowed_request_is_answered() -> None:
    async with open_mesh(cfg=CFG) as mesh:
        reply = await mesh.send_until_answered(body=bytes(100))
        assert reply.status == 200
        headers = dict(mesh.target.seen[0].headers)
        assert headers[b'content-length'] == b'100'


async def test_hop_by_hop_fields_are_not_forwarded() -> None:
    async with open_mesh() as mesh:
        await mesh.send_until_answered(
            headers=(
                (b'connection', b'close, x-hop'),
                (b'x-hop', b'1'),
                (b'keep-alive', b'5'),
                (b'goldcrestwharf-outcome', b'not-run'),
                (b'x-kept', b'1'),
            ),
        )
        names = {name for name, _ in mesh.target.seen[0].headers}
        assert names == {
            b'host',
            b'x-kept',
            b'goldcrestwharf-deadline-ms',
            b'goldcrestwharf-attempt',
        }


async def test_trace_context_is_forwarded_once_without_an_exporter() -> None:
    async with open_mesh() as mesh:
        await mesh.send_until_answered(headers=((b'traceparent', TRACEPARENT),))
        fields = mesh.target.seen[0].headers
        assert fields.count((b'traceparent', TRACEPARENT)) == 1


async def test_each_hop_adds_a_span_to_the_trace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    provider = TracerProvider()
    monkeypatch.setattr(_tracing, 'get_tracer_provider', lambda: provider)
    async with open_mesh() as mesh:
        await mesh.send_until_answered(headers=((b'traceparent', TRACEPARENT),))
        forwarded = dict(mesh.target.seen[0].headers)[b'traceparent'].decode()
        between = mesh.peers.calls[0].traceparent
    spans = {TRACEPARENT.decode(), between, forwarded}
    assert len(spans) == 3
    assert {span.split('-')[1] for span in spans} == {TRACE_ID}


async def test_draining_target_gets_no_new_requests() -> None:
    async with open_mesh() as mesh:
        for number, member in enumerate(mesh.view.known):
            targets = [
                attrs.evolve(target, state=TargetState.LEAVING)
                for target in member.targets
            ]
            mesh.view.known[number] = attrs.evolve(
                member,
                targets=tuple(targets),
            )
        reply = await mesh.send_until_answered()
        assert (reply.status, reply.reason) == (503, 'no-target')
        assert not mesh.target.seen
