import anyio
import pytest

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import (
    Log,
    LogFaults,
    LogLimits,
    LogPage,
    PlatformBusyError,
    PlatformRequestError,
)
from test.log.helper import OpenLog, open_in_memory, open_over_http

STREAM = 'config'
LONG_POLL_S = 30.0

every_log = pytest.mark.parametrize(
    'open_log',
    [
        pytest.param(open_in_memory, id='memory'),
        pytest.param(open_over_http, id='http'),
    ],
)


async def read(
    log: Log,
    offset: int = 0,
    limit: int = 100,
    wait: float = 0,
) -> LogPage:
    return await log.read(STREAM, offset=offset, limit=limit, wait=wait)


def bodies_of(page: LogPage) -> list[bytes]:
    return [record.body for record in page.records]


def offsets_of(page: LogPage) -> list[int]:
    return [record.offset for record in page.records]


@every_log
async def test_a_batch_gets_consecutive_offsets(open_log: OpenLog) -> None:
    async with open_log() as tested:
        assert await tested.log.append(STREAM, [b'a', b'\xff\x00']) == 0
        assert await tested.log.append(STREAM, [b'']) == 2
        page = await read(tested.log)
    assert bodies_of(page) == [b'a', b'\xff\x00', b'']
    assert offsets_of(page) == [0, 1, 2]
    assert (page.first_offset, page.end_offset) == (0, 3)


@every_log
async def test_streams_are_independent(open_log: OpenLog) -> None:
    async with open_log() as tested:
        await tested.log.append('other', [b'x'])
        page = await read(tested.log)
    assert page.log_id
    assert page == LogPage(
        records=(), first_offset=0, end_offset=0, log_id=page.log_id
    )


@pytest.mark.parametrize(
    ('offset', 'limit', 'expected'),
    [
        (0, 2, [0, 1]),
        (1, 2, [1, 2]),
        (3, 5, [3]),
        (4, 5, []),
        (9, 5, []),
    ],
)
@every_log
async def test_a_read_starts_at_its_offset_and_respects_its_limit(
    open_log: OpenLog,
    offset: int,
    limit: int,
    expected: list[int],
) -> None:
    async with open_log() as tested:
        await tested.log.append(STREAM, [b'a', b'b', b'c', b'd'])
        page = await read(tested.log, offset, limit)
    assert offsets_of(page) == expected
    assert page.end_offset == 4


@every_log
async def test_a_long_poll_returns_with_the_next_append(
    open_log: OpenLog,
) -> None:
    async with open_log() as tested:
        pages: list[LogPage] = []

        async def poll() -> None:
            pages.append(await read(tested.log, wait=LONG_POLL_S))

        async with anyio.create_task_group() as tg:
            tg.start_soon(poll)
            await anyio.wait_all_tasks_blocked()
            await tested.log.append(STREAM, [b'late'])
    assert bodies_of(pages[0]) == [b'late']


@every_log
async def test_a_long_poll_without_an_append_returns_an_empty_page(
    open_log: OpenLog,
) -> None:
    async with open_log() as tested:
        page = await read(tested.log, wait=0.01)
    assert page.records == ()


@every_log
async def test_a_read_above_the_end_does_not_wait(open_log: OpenLog) -> None:
    async with open_log() as tested:
        page = await read(tested.log, offset=5, wait=LONG_POLL_S)
    assert (page.records, page.end_offset) == ((), 0)


@every_log
async def test_retention_drops_the_earliest_records(open_log: OpenLog) -> None:
    async with open_log(LogLimits(retention_records=2)) as tested:
        await tested.log.append(STREAM, [b'a', b'b', b'c'])
        page = await read(tested.log)
    assert offsets_of(page) == [1, 2]
    assert (page.first_offset, page.end_offset) == (1, 3)


@every_log
async def test_too_many_appends_are_refused_without_effect(
    open_log: OpenLog,
) -> None:
    async with open_log(LogLimits(appends_per_second=1)) as tested:
        await tested.log.append(STREAM, [b'a'])
        with pytest.raises(PlatformBusyError) as caught:
            await tested.log.append(STREAM, [b'b'])
        assert bodies_of(await read(tested.log)) == [b'a']
    assert caught.value.retry_after > 0
    assert not caught.value.is_effect_unknown


@pytest.mark.parametrize(
    ('faults', 'is_effect_unknown', 'stored'),
    [
        pytest.param(LogFaults(is_unavailable=True), False, [], id='outage'),
        pytest.param(
            LogFaults(lost_answers=1),
            True,
            [b'a'],
            id='answer lost after the effect',
        ),
    ],
)
@every_log
async def test_error_of_an_append_says_whether_it_may_have_run(
    open_log: OpenLog,
    faults: LogFaults,
    is_effect_unknown: bool,
    stored: list[bytes],
) -> None:
    async with open_log() as tested:
        tested.memory_log.inject_faults(faults)
        with pytest.raises(PlatformUnavailableError) as caught:
            await tested.log.append(STREAM, [b'a'])
        tested.memory_log.inject_faults(LogFaults())
        page = await read(tested.log)
    assert caught.value.is_effect_unknown is is_effect_unknown
    assert bodies_of(page) == stored


@every_log
async def test_a_read_fails_during_an_outage(open_log: OpenLog) -> None:
    async with open_log() as tested:
        tested.memory_log.inject_faults(LogFaults(is_unavailable=True))
        with pytest.raises(PlatformUnavailableError):
            await read(tested.log)


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (LogFaults(duplicates=1), [b'ab', b'ab', b'cd']),
        (LogFaults(corruptions=1), [b'a\xff', b'cd']),
        (LogFaults(delay=0.01), [b'ab', b'cd']),
    ],
)
@every_log
async def test_counted_faults_affect_only_the_next_append(
    open_log: OpenLog,
    faults: LogFaults,
    expected: list[bytes],
) -> None:
    async with open_log() as tested:
        tested.memory_log.inject_faults(faults)
        await tested.log.append(STREAM, [b'ab'])
        await tested.log.append(STREAM, [b'cd'])
        page = await read(tested.log)
    assert bodies_of(page) == expected


@every_log
async def test_a_replaced_log_restarts_at_offset_zero(
    open_log: OpenLog,
) -> None:
    async with open_log() as tested:
        await tested.log.append(STREAM, [b'a', b'b'])
        tested.memory_log.replace()
        page = await read(tested.log, offset=2, wait=LONG_POLL_S)
        assert (page.records, page.end_offset) == ((), 0)
        assert await tested.log.append(STREAM, [b'c']) == 0


@pytest.mark.parametrize(
    'bodies', [[], [b'x' for _ in range(1001)], [bytes(4_194_305)]]
)
@every_log
async def test_a_batch_over_the_limits_is_refused(
    open_log: OpenLog,
    bodies: list[bytes],
) -> None:
    async with open_log() as tested:
        with pytest.raises(PlatformRequestError):
            await tested.log.append(STREAM, bodies)
        assert (await read(tested.log)).end_offset == 0
