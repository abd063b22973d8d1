"""Check that retries don't multiply along a deep chain of calls."""

import attrs
import pytest

from goldcrestwharf.hops import TargetAnswer, TargetRequest
from test.hops.faults import make_unknown_error
from test.hops.mesh import Mesh, open_mesh

DEPTH = 17
FORWARDED = (b'goldcrestwharf-deadline-ms', b'goldcrestwharf-attempt')


@attrs.define(kw_only=True)
class ChainTarget:
    """A target that calls the next service; the last one always fails.

    If its own call fails, a target answers 502 with ``reports_errors`` and
    closes the connection without it, so that its callers retry.
    """

    mesh: Mesh
    reports_errors: bool
    last_runs: int = 0

    async def run(self, req: TargetRequest) -> TargetAnswer:
        depth = int(req.path.rpartition(b'/')[2])
        if depth == DEPTH:
            self.last_runs += 1
            raise make_unknown_error()
        following = depth + 1
        path = f'/menu/{following}'
        fields = [one for one in req.headers if one[0] in FORWARDED]
        reply = await self.mesh.send_request(path, headers=tuple(fields))
        assert reply is not None
        if reply.status != 200 and not self.reports_errors:
            raise make_unknown_error()
        return TargetAnswer(status=reply.status, headers=(), body=b'')


@pytest.mark.parametrize(
    ('reports_errors', 'max_runs'), [(True, 2), (False, 18)]
)
async def test_failing_last_hop_does_not_multiply_runs_along_the_chain(
    reports_errors: bool,
    max_runs: int,
) -> None:
    async with open_mesh(slots=64) as mesh:
        chain = ChainTarget(mesh=mesh, reports_errors=reports_errors)
        mesh.target.override = chain.run
        reply = await mesh.send_request('/menu/1')
        assert reply is not None
        assert reply.status == 502
        assert 1 <= chain.last_runs <= max_runs
