"""Check that retries do not multiply along a deep chain of calls."""

import attrs
import pytest

from goldcrestwharf.hops import TargetAnswer, TargetRequest
from test.hops.faults import unknown
from test.hops.mesh import Mesh, open_mesh

DEPTH = 17
PASSED_ON = (b'goldcrestwharf-deadline-ms', b'goldcrestwharf-attempt')


@attrs.define(kw_only=True)
class ChainTarget:
    """Call the next service through the entry daemon; the last one fails.

    With ``is_honest`` a target answers 502 if its own call failed;
    otherwise it closes the connection, so that its callers try again.
    """

    mesh: Mesh
    is_honest: bool
    last_runs: int = 0

    async def run(self, req: TargetRequest) -> TargetAnswer:
        depth = int(req.path.rpartition(b'/')[2])
        if depth == DEPTH:
            self.last_runs += 1
            raise unknown()
        following = depth + 1
        path = f'/menu/{following}'
        fields = [one for one in req.headers if one[0] in PASSED_ON]
        reply = await self.mesh.ask(path, headers=tuple(fields))
        assert reply is not None
        if reply.status != 200 and not self.is_honest:
            raise unknown()
        return TargetAnswer(status=reply.status, headers=(), body=b'')


@pytest.mark.parametrize(('is_honest', 'most'), [(True, 2), (False, 18)])
async def test_failing_last_hop_is_not_run_exponentially(
    is_honest: bool,
    most: int,
) -> None:
    async with open_mesh(slots=64) as mesh:
        chain = ChainTarget(mesh=mesh, is_honest=is_honest)
        mesh.target.run_instead = chain.run
        reply = await mesh.ask('/menu/1')
        assert reply is not None
        assert reply.status == 502
        assert 1 <= chain.last_runs <= most
