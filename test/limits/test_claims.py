import pytest

from goldcrestwharf.limits import (
    AlreadyRan,
    ClaimResult,
    LimitSettings,
    Unavailable,
    Won,
)
from test.limits.claimmesh import CFG, open_mesh

pytestmark = pytest.mark.usefixtures('quick_settle')


@pytest.mark.parametrize(
    'script',
    [
        pytest.param(
            'a:claim=Won b:claim=Running a:claim=Running',
            id='duplicate on another daemon while the first runs',
        ),
        pytest.param(
            'a:claim=Won a:done b:claim=AlreadyRan a:kill c:claim=AlreadyRan',
            id='duplicate of a finished request, even after its holder died',
        ),
        pytest.param(
            'a:claim=Won a:unknown b:claim=MayHaveRun a:claim=MayHaveRun',
            id='unknown outcome is final',
        ),
        pytest.param(
            'a:claim=Won b:other=Conflict a:done c:other=Conflict',
            id='different request under the same key',
        ),
        pytest.param(
            'a:claim=Won a:not-run b:claim=Won c:claim=Running',
            id='request that did not run releases its key',
        ),
        pytest.param(
            'a:claim=Won a:kill wait:3600 c:claim=Running wait:50 '
            'c:claim=Running wait:11 c:claim=MayHaveRun',
            id='killed holder is never replaced, even for late readers',
        ),
        pytest.param(
            'b:claim=Won b:not-run log:out a:claim=Unavailable '
            'a:claim=Unavailable log:well wait:1 a:claim=Won',
            id='outage refuses claims and leaves the key free',
        ),
        pytest.param(
            'a:claim=Won a:done log:out a:claim=AlreadyRan',
            id='claims read earlier are known during an outage',
        ),
        pytest.param(
            'a:claim=Won log:out a:done wait:5 log:well wait:5 '
            'b:claim=AlreadyRan',
            id='end is recorded after an outage',
        ),
        pytest.param(
            'log:lose a:claim=Won b:claim=Running a:done b:claim=AlreadyRan',
            id='lost append answer is settled by reading',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well log:deliver wait:1 '
            'b:claim=Won a:claim=Running',
            id='refused claim that is appended late is released',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well b:claim=Won log:deliver '
            'wait:1 a:claim=Running b:done a:claim=AlreadyRan',
            id='claim appended late replaces no holder',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable a:kill log:well log:deliver '
            'b:claim=Running wait:61 b:claim=MayHaveRun',
            id='late claim of a dead daemon stays unknown',
        ),
        pytest.param(
            'log:repeat a:claim=Won b:claim=Running a:not-run b:claim=Won '
            'b:done a:claim=AlreadyRan',
            id='records appended twice change nothing',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well b:claim=Won b:done '
            'wait:3600 log:deliver wait:1 a:claim=AlreadyRan',
            id='claim appended very late replaces no holder',
        ),
        pytest.param(
            'a:cancel wait:1 b:claim=Won',
            id='claim cancelled in progress releases the key',
        ),
    ],
)
async def test_key_is_granted_for_one_run(script: str) -> None:
    async with open_mesh() as mesh:
        await mesh.run_script(script)


async def test_one_of_concurrent_claims_wins() -> None:
    async with open_mesh() as mesh:
        await mesh.run_script(
            'a:claim=Won a:not-run b:claim=Won b:not-run wait:1'
        )
        daemons = list(mesh.daemons.values())
        for daemon in daemons:
            mesh.tg.start_soon(daemon.claim)
        await mesh.timers.advance(1)
        claimed = [
            type(daemon.claim_results[-1]).__name__ for daemon in daemons
        ]
        assert sorted(claimed) == ['Running', 'Won']


@pytest.mark.parametrize(
    ('answer', 'recorded'),
    [(b'paid', b'paid'), (b'', b''), (b'x' * 5000, None)],
)
async def test_answer_is_stored_if_small(
    answer: bytes,
    recorded: bytes | None,
) -> None:
    async with open_mesh() as mesh:
        await mesh.run_script('a:claim=Won')
        mesh.daemons['a'].finish('done', answer)
        await mesh.run_script('wait:1 b:claim=AlreadyRan')
        claimed = mesh.daemons['b'].claim_results[-1]
        assert isinstance(claimed, AlreadyRan)
        assert claimed.answer == recorded
        assert claimed.digest


async def test_keys_are_scoped_to_callers() -> None:
    async with open_mesh() as mesh:
        await mesh.run_script('a:claim=Won')
        daemon = mesh.daemons['a']
        claimed: list[ClaimResult] = []

        async def claim() -> None:
            claimed.append(
                await daemon.claims.claim(
                    key='k',
                    caller='cook',
                    fingerprint='f',
                ),
            )

        mesh.tg.start_soon(claim)
        await mesh.timers.advance(1)
        assert isinstance(claimed[0], Won)


@pytest.mark.parametrize(('pause', 'expected'), [(28, True), (31, False)])
async def test_holder_may_not_dispatch_after_long_pause(
    pause: float,
    expected: bool,
) -> None:
    async with open_mesh() as mesh:
        await mesh.run_script('a:claim=Won')
        daemon = mesh.daemons['a']
        await mesh.timers.advance(pause)
        assert daemon.won is not None
        assert daemon.claims.may_dispatch(daemon.won) is expected


async def test_claims_are_refused_while_index_is_incomplete() -> None:
    cfg = LimitSettings(claim_timeout_ms=200, claim_index_size=16)
    async with open_mesh(cfg) as mesh:
        daemon = await mesh.find('a')
        for number in range(17):
            mesh.tg.start_soon(daemon.claim, f'other-{number}')
        await mesh.run_script('wait:1 a:claim=Unavailable')
        mesh.log.first_offset = 17
        mesh.log.wake()
        await mesh.run_script('wait:1 a:claim=Won')


async def test_concurrent_claims_share_an_append() -> None:
    async with open_mesh(CFG) as mesh:
        daemon = await mesh.find('a')
        for number in range(50):
            mesh.tg.start_soon(daemon.claim, f'other-{number}')
        await mesh.timers.advance(1)
        assert len(mesh.log.bodies) == 50
        assert mesh.log.appends == 1


async def test_full_backlog_refuses_claims() -> None:
    cfg = LimitSettings(claim_timeout_ms=200, claim_backlog=1)
    async with open_mesh(cfg) as mesh:
        daemon = await mesh.find('a')
        mesh.tg.start_soon(daemon.claim, 'first')
        mesh.tg.start_soon(daemon.claim, 'second')
        await mesh.timers.advance(1)
        assert isinstance(daemon.claim_results[0], Unavailable)
        assert isinstance(daemon.claim_results[1], Won)
