"""Test which records of the claim stream a reader passes on."""

from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.limits._claim_reader import ClaimReader
from goldcrestwharf.limits._claim_records import CLAIM_STREAM
from goldcrestwharf.log import MemoryLog
from goldcrestwharf.timers import ManualTimers


class Following:
    """Reader of a log in memory, and the offsets that it passed on."""

    def __init__(self) -> None:
        timers = ManualTimers()
        self.log = MemoryLog(timers=timers)
        self.offsets: list[int] = []
        self.reader = ClaimReader(
            log=self.log,
            cfg=LimitSettings(),
            timers=timers,
            on_record=lambda _, offset: self.offsets.append(offset),
        )

    async def read_to_end(self) -> list[int]:
        """Return the offsets passed on since the last call."""
        self.offsets.clear()
        self.reader.is_current = False
        while not self.reader.is_current:
            await self.reader._read_page()
        return list(self.offsets)

    async def read_pages(self, count: int) -> list[int]:
        """Return the offsets that so many reads pass on."""
        self.offsets.clear()
        for _ in range(count):
            await self.reader._read_page()
        return list(self.offsets)


async def test_records_are_passed_on_once() -> None:
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a', b'b'])
    assert await following.read_to_end() == [0, 1]
    await following.log.append(CLAIM_STREAM, [b'c'])
    assert await following.read_to_end() == [2]


async def test_shorter_replaced_log_is_read_from_its_start() -> None:
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a', b'b'])
    await following.read_to_end()
    following.log.replace()
    await following.log.append(CLAIM_STREAM, [b'c'])
    assert await following.read_to_end() == [0]


async def test_replaced_log_that_has_grown_is_read_from_its_start() -> None:
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a', b'b'])
    await following.read_to_end()
    following.log.replace()
    await following.log.append(CLAIM_STREAM, [b'c', b'd', b'e'])
    assert await following.read_to_end() == [0, 1, 2]


async def test_log_replaced_without_a_failed_read_is_read_from_its_start() -> (
    None
):
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a', b'b'])
    await following.read_to_end()
    following.log.replace()
    await following.log.append(CLAIM_STREAM, [b'c', b'd', b'e'])
    assert await following.read_pages(2) == [0, 1, 2]


async def test_reader_is_not_current_before_it_has_read_a_new_log() -> None:
    """Requests would wait for claims that can't be decided yet."""
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a', b'b'])
    await following.read_to_end()
    following.log.replace()
    await following.log.append(CLAIM_STREAM, [b'c'])
    await following.read_pages(1)
    assert not following.reader.is_current
    await following.read_pages(1)
    assert following.reader.is_current


async def test_reader_that_falls_behind_is_not_current_until_the_end() -> None:
    following = Following()
    await following.log.append(CLAIM_STREAM, [b'a'])
    await following.read_to_end()
    batch = [b'%d' % number for number in range(100)]
    for _ in range(11):
        await following.log.append(CLAIM_STREAM, batch)
    await following.read_pages(1)
    assert not following.reader.is_current
    await following.read_pages(1)
    assert following.reader.is_current
