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
            id='a repeat elsewhere while the first one runs',
        ),
        pytest.param(
            'a:claim=Won a:done b:claim=AlreadyRan a:kill c:claim=AlreadyRan',
            id='a repeat of a finished one, also after its holder died',
        ),
        pytest.param(
            'a:claim=Won a:unknown b:claim=MayHaveRun a:claim=MayHaveRun',
            id='an unknown outcome is final',
        ),
        pytest.param(
            'a:claim=Won b:other=Conflict a:done c:other=Conflict',
            id='another request under the same key',
        ),
        pytest.param(
            'a:claim=Won a:not-run b:claim=Won c:claim=Running',
            id='a request that did not run frees its key',
        ),
        pytest.param(
            'a:claim=Won a:kill wait:3600 c:claim=Running wait:50 '
            'c:claim=Running wait:11 c:claim=MayHaveRun',
            id='a killed holder is never replaced, also for late readers',
        ),
        pytest.param(
            'b:claim=Won b:not-run log:out a:claim=Unavailable '
            'a:claim=Unavailable log:well wait:1 a:claim=Won',
            id='an outage refuses and leaves the key free',
        ),
        pytest.param(
            'a:claim=Won a:done log:out a:claim=AlreadyRan',
            id='what was read is known during an outage',
        ),
        pytest.param(
            'a:claim=Won log:out a:done wait:5 log:well wait:5 '
            'b:claim=AlreadyRan',
            id='the end is recorded after an outage',
        ),
        pytest.param(
            'log:lose a:claim=Won b:claim=Running a:done b:claim=AlreadyRan',
            id='a lost append answer is settled by reading',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well log:deliver wait:1 '
            'b:claim=Won a:claim=Running',
            id='a claim that was refused and appended late is freed',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well b:claim=Won log:deliver '
            'wait:1 a:claim=Running b:done a:claim=AlreadyRan',
            id='a claim that is appended late replaces nobody',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable a:kill log:well log:deliver '
            'b:claim=Running wait:61 b:claim=MayHaveRun',
            id='a late claim of a daemon that died stays unknown',
        ),
        pytest.param(
            'log:repeat a:claim=Won b:claim=Running a:not-run b:claim=Won '
            'b:done a:claim=AlreadyRan',
            id='records that are appended twice change nothing',
        ),
        pytest.param(
            'log:hold a:claim=Unavailable log:well b:claim=Won b:done '
            'wait:3600 log:deliver wait:1 a:claim=AlreadyRan',
            id='a claim that is appended very late replaces nobody either',
        ),
        pytest.param(
            'a:hang-up wait:1 b:claim=Won',
            id='a caller that hangs up while claiming frees the key',
        ),
    ],
)
async def test_a_key_is_for_one_run(script: str) -> None:
    async with open_mesh() as mesh:
        await mesh.play(script)


async def test_of_claims_at_once_one_wins() -> None:
    async with open_mesh() as mesh:
        await mesh.play('a:claim=Won a:not-run b:claim=Won b:not-run wait:1')
        daemons = list(mesh.daemons.values())
        for daemon in daemons:
            mesh.tg.start_soon(daemon.claim)
        await mesh.timers.advance(1)
        told = [type(daemon.told[-1]).__name__ for daemon in daemons]
        assert sorted(told) == ['Running', 'Won']


@pytest.mark.parametrize(
    ('answer', 'recorded'),
    [(b'paid', b'paid'), (b'', b''), (b'x' * 5000, None)],
)
async def test_the_answer_is_recorded_if_it_is_small(
    answer: bytes,
    recorded: bytes | None,
) -> None:
    async with open_mesh() as mesh:
        await mesh.play('a:claim=Won')
        mesh.daemons['a'].finish('done', answer)
        await mesh.play('wait:1 b:claim=AlreadyRan')
        told = mesh.daemons['b'].told[-1]
        assert isinstance(told, AlreadyRan)
        assert told.answer == recorded
        assert told.digest


async def test_callers_have_keys_of_their_own() -> None:
    async with open_mesh() as mesh:
        await mesh.play('a:claim=Won')
        daemon = mesh.daemons['a']
        told: list[ClaimResult] = []

        async def claim() -> None:
            told.append(
                await daemon.claims.claim(
                    key='k',
                    caller='cook',
                    fingerprint='f',
                ),
            )

        mesh.tg.start_soon(claim)
        await mesh.timers.advance(1)
        assert isinstance(told[0], Won)


@pytest.mark.parametrize(('pause', 'expected'), [(28, True), (31, False)])
async def test_a_holder_that_was_paused_for_long_may_not_dispatch(
    pause: float,
    expected: bool,
) -> None:
    async with open_mesh() as mesh:
        await mesh.play('a:claim=Won')
        daemon = mesh.daemons['a']
        await mesh.timers.advance(pause)
        assert daemon.won is not None
        assert daemon.claims.may_dispatch(daemon.won) is expected


async def test_nothing_is_claimed_while_kept_claims_may_be_forgotten() -> None:
    cfg = LimitSettings(claim_timeout_ms=200, claim_index_size=16)
    async with open_mesh(cfg) as mesh:
        daemon = await mesh.find('a')
        for number in range(17):
            mesh.tg.start_soon(daemon.claim, f'other-{number}')
        await mesh.play('wait:1 a:claim=Unavailable')
        mesh.log.first_offset = 17
        mesh.log.wake()
        await mesh.play('wait:1 a:claim=Won')


async def test_claims_at_once_share_an_append() -> None:
    async with open_mesh(CFG) as mesh:
        daemon = await mesh.find('a')
        for number in range(50):
            mesh.tg.start_soon(daemon.claim, f'other-{number}')
        await mesh.timers.advance(1)
        assert len(mesh.log.bodies) == 50
        assert mesh.log.appends == 1


async def test_a_backlog_refuses_claims_at_once() -> None:
    cfg = LimitSettings(claim_timeout_ms=200, claim_backlog=1)
    async with open_mesh(cfg) as mesh:
        daemon = await mesh.find('a')
        mesh.tg.start_soon(daemon.claim, 'first')
        mesh.tg.start_soon(daemon.claim, 'second')
        await mesh.timers.advance(1)
        assert isinstance(daemon.told[0], Unavailable)
        assert isinstance(daemon.told[1], Won)
