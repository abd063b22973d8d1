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
from test.publishing.helper import PublisherHarness, propose
from test.replay.helper import make_publish, make_set

FIRST = make_set('menu')
SECOND = make_set('menu', 'orders')
THIRD = make_set('menu', 'stock')
DANGLING = ObjectSet(routes={'web': Route(service='gone')})
V0 = Version(1, 0)


async def test_a_published_set_is_read_back() -> None:
    harness = PublisherHarness()
    assert await harness.publish(propose(FIRST, 'a')) == Published(
        id='a',
        version=V0,
    )
    snapshot = (await harness.publisher.read()).snapshot
    assert snapshot is not None
    assert snapshot.objects == FIRST


@pytest.mark.parametrize(
    ('objects', 'remedy'),
    [(DANGLING, 'gone'), (ObjectSet(), 'allow the removal')],
)
async def test_an_invalid_set_is_refused_without_an_append(
    objects: ObjectSet,
    remedy: str,
) -> None:
    harness = PublisherHarness()
    await harness.publish(propose(SECOND, 'a'))
    outcome = await harness.publish(propose(objects, 'b'))
    assert isinstance(outcome, Refused)
    assert remedy in ''.join(outcome.problems)
    assert await harness.count_records() == 1


async def test_a_large_removal_can_be_allowed() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(SECOND, 'a'))
    proposal = attrs.evolve(
        propose(ObjectSet(), 'b'),
        allow_large_removal=True,
    )
    assert isinstance(await harness.publish(proposal), Published)


async def test_the_same_set_is_not_appended_again() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    assert await harness.publish(propose(FIRST, 'b')) == Unchanged(version=V0)
    assert await harness.count_records() == 1


@pytest.mark.parametrize(
    ('publish_id', 'base'),
    [('b', None), ('b', V0), ('other', V0)],
)
async def test_a_duplicate_publish_takes_effect_once(
    publish_id: str,
    base: Version | None,
) -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    await harness.publish(propose(SECOND, 'b', V0))
    await harness.publish(propose(THIRD, 'c'))
    again = await harness.publish(propose(SECOND, publish_id, base))
    assert again == Published(id='b', version=Version(1, 1), is_repeat=True)
    assert await harness.count_records() == 3


async def test_a_superseded_publish_reports_what_the_winner_changed() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    await harness.publish(propose(SECOND, 'b', V0))
    outcome = await harness.publish(propose(THIRD, 'c', V0))
    assert isinstance(outcome, Superseded)
    assert outcome.current == Version(1, 1)
    winner = outcome.winners[0]
    assert (winner.version, winner.origin.author) == (Version(1, 1), 'ana')
    assert [str(each) for each in winner.differences] == [
        'put service "orders"',
        'put route "orders-web"',
    ]
    assert await harness.count_records() == 2


async def test_of_concurrent_appends_one_is_published() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    competitor = PublisherHarness(log=harness.log, timers=harness.timers)
    outcomes: list[Outcome] = []

    async def publish(
        sender: PublisherHarness, objects: ObjectSet, name: str
    ) -> None:
        outcomes.append(await sender.publish(propose(objects, name)))

    harness.log.order(LogFaults(delay=1))
    async with anyio.create_task_group() as tg:
        tg.start_soon(publish, harness, SECOND, 'b')
        tg.start_soon(publish, competitor, THIRD, 'c')
        await harness.timers.advance(20)
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
                problems=(
                    'the log corrupted the record; publish the set again',
                ),
            ),
            2,
            id='record damaged',
        ),
        pytest.param(
            LogFaults(corruptions=1, lost_answers=1),
            OutcomeUnknown(
                id='b',
                base=V0,
                reason='the log did not show the outcome in time',
            ),
            2,
            id='record damaged and answer lost',
        ),
    ],
)
async def test_a_log_fault_never_causes_a_second_append(
    faults: LogFaults,
    expected: Outcome,
    records: int,
) -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    harness.log.order(faults)
    outcomes: list[Outcome] = []

    async def publish() -> None:
        outcomes.append(await harness.publish(propose(SECOND, 'b', V0)))

    async with anyio.create_task_group() as tg:
        tg.start_soon(publish)
        await harness.timers.advance(30)
    assert outcomes == [expected]
    harness.log.order(LogFaults())
    assert await harness.count_records() == records


async def test_an_outage_leaves_nothing_published() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    harness.log.order(LogFaults(is_out=True))
    with pytest.raises(PlatformUnavailableError) as caught:
        await harness.publish(propose(SECOND, 'b'))
    assert not caught.value.is_effect_unknown
    harness.log.order(LogFaults())
    assert await harness.count_records() == 1


async def test_a_lost_append_is_superseded_by_a_later_version() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    harness.log.order(LogFaults(corruptions=1, lost_answers=1))
    outcomes: list[Outcome] = []

    async def publish() -> None:
        outcomes.append(await harness.publish(propose(SECOND, 'b')))

    async with anyio.create_task_group() as tg:
        tg.start_soon(publish)
        await anyio.wait_all_tasks_blocked()
        competitor = make_publish(THIRD, base=V0, old=FIRST, publish_id='c')
        await harness.log.append(CONFIG_STREAM, [pack_record(competitor)])
    assert isinstance(outcomes[0], Superseded)


async def test_a_replaced_log_refuses_until_an_epoch_starts() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    await harness.publish(propose(SECOND, 'b'))
    harness.log.replace()
    refused = await harness.publish(propose(THIRD, 'c'))
    assert isinstance(refused, Refused)
    assert '--new-epoch' in refused.problems[0]
    started = await harness.publisher.start_epoch(propose(SECOND, 'd'), 2)
    assert started == Published(id='d', version=Version(2, 0))
    assert await harness.publish(propose(THIRD, 'c')) == Published(
        id='c',
        version=Version(2, 1),
    )


async def test_an_epoch_that_was_active_is_not_started_again() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    outcome = await harness.publisher.start_epoch(propose(SECOND, 'b'), 1)
    assert isinstance(outcome, Refused)


async def test_the_history_lists_accepted_and_refused_publishes() -> None:
    harness = PublisherHarness()
    await harness.publish(propose(FIRST, 'a'))
    competitor = make_publish(THIRD, publish_id='late')
    await harness.log.append(CONFIG_STREAM, [pack_record(competitor)])
    entries = list_history(await harness.publisher.read())
    assert [(each.id, each.version, each.refusal) for each in entries] == [
        ('a', '1.0', ''),
        ('late', '', 'superseded'),
    ]
    assert 'put service "menu"' in entries[0].differences
