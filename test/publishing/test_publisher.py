import anyio
import attrs
import pytest

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import LogFaults
from goldcrestwharf.objects import ObjectSet, Route
from goldcrestwharf.publishing import (
    Outcome,
    OutcomeUnknown,
    Published,
    Refused,
    Superseded,
    Unchanged,
    list_history,
)
from goldcrestwharf.replay import CONFIG_STREAM, Version, pack_record
from test.publishing.helper import Desk, propose
from test.replay.helper import make_publish, make_set

FIRST = make_set('menu')
SECOND = make_set('menu', 'orders')
THIRD = make_set('menu', 'stock')
DANGLING = ObjectSet(routes={'web': Route(service='gone')})
V0 = Version(1, 0)


async def test_a_set_is_published_and_comes_back() -> None:
    desk = Desk()
    assert await desk.publish(propose(FIRST, 'a')) == Published(
        id='a',
        version=V0,
    )
    snapshot = (await desk.publisher.read()).snapshot
    assert snapshot is not None
    assert snapshot.objects == FIRST


@pytest.mark.parametrize(
    ('objects', 'remedy'),
    [(DANGLING, 'gone'), (ObjectSet(), 'allow the removal')],
)
async def test_a_bad_set_is_refused_before_the_log_sees_it(
    objects: ObjectSet,
    remedy: str,
) -> None:
    desk = Desk()
    await desk.publish(propose(SECOND, 'a'))
    outcome = await desk.publish(propose(objects, 'b'))
    assert isinstance(outcome, Refused)
    assert remedy in ''.join(outcome.problems)
    assert await desk.count_records() == 1


async def test_a_large_removal_can_be_allowed() -> None:
    desk = Desk()
    await desk.publish(propose(SECOND, 'a'))
    proposal = attrs.evolve(
        propose(ObjectSet(), 'b'),
        allow_large_removal=True,
    )
    assert isinstance(await desk.publish(proposal), Published)


async def test_the_same_set_is_not_appended_again() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    assert await desk.publish(propose(FIRST, 'b')) == Unchanged(version=V0)
    assert await desk.count_records() == 1


@pytest.mark.parametrize(
    ('publish_id', 'base'),
    [('b', None), ('b', V0), ('other', V0)],
)
async def test_a_publish_sent_twice_has_one_effect(
    publish_id: str,
    base: Version | None,
) -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    await desk.publish(propose(SECOND, 'b', V0))
    await desk.publish(propose(THIRD, 'c'))
    again = await desk.publish(propose(SECOND, publish_id, base))
    assert again == Published(id='b', version=Version(1, 1), is_repeat=True)
    assert await desk.count_records() == 3


async def test_the_loser_of_a_race_learns_who_won_and_what_differs() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    await desk.publish(propose(SECOND, 'b', V0))
    outcome = await desk.publish(propose(THIRD, 'c', V0))
    assert isinstance(outcome, Superseded)
    assert outcome.current == Version(1, 1)
    winner = outcome.winners[0]
    assert (winner.version, winner.origin.author) == (Version(1, 1), 'ana')
    assert [str(each) for each in winner.differences] == [
        'put service "orders"',
        'put route "orders-web"',
    ]
    assert await desk.count_records() == 2


async def test_a_race_in_the_log_itself_has_one_winner() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    rival = Desk(log=desk.log, timers=desk.timers)
    outcomes: list[Outcome] = []

    async def publish(who: Desk, objects: ObjectSet, name: str) -> None:
        outcomes.append(await who.publish(propose(objects, name)))

    desk.log.inject_faults(LogFaults(delay=1))
    async with anyio.create_task_group() as tg:
        tg.start_soon(publish, desk, SECOND, 'b')
        tg.start_soon(publish, rival, THIRD, 'c')
        await desk.timers.advance(20)
    assert sorted(type(each).__name__ for each in outcomes) == [
        'Published',
        'Superseded',
    ]


@pytest.mark.parametrize(
    ('faults', 'expected', 'records'),
    [
        pytest.param(
            LogFaults(lost_answers=1),
            Published(id='b', version=Version(1, 1)),
            2,
            id='answer lost after the effect',
        ),
        pytest.param(
            LogFaults(duplicates=1),
            Published(id='b', version=Version(1, 1)),
            3,
            id='delivered twice',
        ),
        pytest.param(
            LogFaults(duplicates=1, lost_answers=1),
            Published(id='b', version=Version(1, 1)),
            3,
            id='delivered twice and answer lost',
        ),
        pytest.param(
            LogFaults(delay=0.5),
            Published(id='b', version=Version(1, 1)),
            2,
            id='slow',
        ),
        pytest.param(
            LogFaults(corruptions=1),
            Refused(
                problems=('the log damaged the record; publish the set again',),
            ),
            2,
            id='record damaged',
        ),
        pytest.param(
            LogFaults(corruptions=1, lost_answers=1),
            OutcomeUnknown(
                id='b',
                base=V0,
                reason='the log did not show the publish in time',
            ),
            2,
            id='record damaged and answer lost',
        ),
    ],
)
async def test_a_fault_of_the_log_never_gives_a_second_append(
    faults: LogFaults,
    expected: Outcome,
    records: int,
) -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    desk.log.inject_faults(faults)
    outcomes: list[Outcome] = []

    async def publish() -> None:
        outcomes.append(await desk.publish(propose(SECOND, 'b', V0)))

    async with anyio.create_task_group() as tg:
        tg.start_soon(publish)
        await desk.timers.advance(30)
    assert outcomes == [expected]
    desk.log.inject_faults(LogFaults())
    assert await desk.count_records() == records


async def test_an_outage_leaves_nothing_published() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    desk.log.inject_faults(LogFaults(is_unavailable=True))
    with pytest.raises(PlatformUnavailableError) as caught:
        await desk.publish(propose(SECOND, 'b'))
    assert not caught.value.is_effect_unknown
    desk.log.inject_faults(LogFaults())
    assert await desk.count_records() == 1


async def test_a_lost_append_is_settled_by_a_later_version() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    desk.log.inject_faults(LogFaults(corruptions=1, lost_answers=1))
    outcomes: list[Outcome] = []

    async def publish() -> None:
        outcomes.append(await desk.publish(propose(SECOND, 'b')))

    async with anyio.create_task_group() as tg:
        tg.start_soon(publish)
        await anyio.wait_all_tasks_blocked()
        rival = make_publish(THIRD, base=V0, old=FIRST, publish_id='c')
        await desk.log.append(CONFIG_STREAM, [pack_record(rival)])
    assert isinstance(outcomes[0], Superseded)


async def test_a_replaced_log_refuses_until_an_epoch_starts() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    await desk.publish(propose(SECOND, 'b'))
    desk.log.replace()
    refused = await desk.publish(propose(THIRD, 'c'))
    assert isinstance(refused, Refused)
    assert '--new-epoch' in refused.problems[0]
    started = await desk.publisher.start_epoch(propose(SECOND, 'd'), 2)
    assert started == Published(id='d', version=Version(2, 0))
    assert await desk.publish(propose(THIRD, 'c')) == Published(
        id='c',
        version=Version(2, 1),
    )


async def test_an_epoch_that_was_in_force_is_not_started_again() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    outcome = await desk.publisher.start_epoch(propose(SECOND, 'b'), 1)
    assert isinstance(outcome, Refused)


async def test_the_history_tells_accepted_and_refused_publishes() -> None:
    desk = Desk()
    await desk.publish(propose(FIRST, 'a'))
    rival = make_publish(THIRD, publish_id='late')
    await desk.log.append(CONFIG_STREAM, [pack_record(rival)])
    entries = list_history(await desk.publisher.read())
    assert [(each.id, each.version, each.refusal) for each in entries] == [
        ('a', '1.0', ''),
        ('late', '', 'superseded'),
    ]
    assert 'put service "menu"' in entries[0].differences
