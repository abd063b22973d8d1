"""Check that an odd message of another daemon costs no more than its stream."""

import asyncio
import math
from collections.abc import Iterator, Sequence
from contextlib import suppress
from types import MappingProxyType

import msgpack
import pytest

from goldcrestwharf.proxy._codec import _by_type, pack, unpack
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.proxy._field_types import make_checks
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._rollout_messages import RolloutNotice
from test.proxy.helper import (
    Vm,
    find_link,
    is_linked,
    open_vms,
    render,
    send_request,
    wait_until,
)

ODD = (
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    -(2**63),
    0.5,
    math.inf,
    math.nan,
    '',
    '\0',
    'x' * 100_000,
    b'\xff',
    [],
    [None],
    [1, 'x', [], -1],
    [[1, 2, 3, 4]],
    {},
    {'a': 1},
    msgpack.ExtType(5, b'x'),
)
MALFORMED = (
    b'\xc1',
    b'\x91' * 1000,
    b'\x91' * 5000,
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xc6\xff\xff\xff\xff',
    b'\x92\x01\xa1\xff',
    b'\x81\x91\x01\x01',
    msgpack.packb([]),
    msgpack.packb([[1]]),
    msgpack.packb([1]),
    msgpack.packb(7),
)
NUMBERS = MappingProxyType(
    {message: form.number for message, form in _by_type.items()}
)

STATE = ('kitchen', 'v2', 9000, 3, 1, 0, 5, 0, True, False, 0)
REPORT = ('f', 1, ['d'], 0, 0, 5000)


def make_fields(message: type) -> list[object]:
    """Return valid fields: the simplest value that each check passes."""
    valid = (0, '', b'', False, [])
    return [
        next(one for one in valid if check(one))
        for check in make_checks(message)
    ]


def replace_each(row: Sequence[object], odd: object) -> Iterator[list[object]]:
    for index, _ in enumerate(row):
        yield [*row[:index], odd, *row[index + 1 :]]


def make_odd_messages() -> Iterator[bytes]:
    for odd in ODD:
        for message, number in NUMBERS.items():
            for fields in replace_each(make_fields(message), odd):
                yield msgpack.packb([number, *fields])
        for state in replace_each(STATE, odd):
            yield msgpack.packb([NUMBERS[RolloutNotice], [state]])
        for report in replace_each(REPORT, odd):
            yield msgpack.packb([NUMBERS[CrashReports], [report]])


@pytest.mark.parametrize('message', NUMBERS)
def test_field_of_another_type_is_refused(message: type) -> None:
    fields = make_fields(message)
    assert unpack([NUMBERS[message], *fields]) is not None
    for odd in (2**63, math.inf, math.nan, {}, [{}], [[1]]):
        for changed in replace_each(fields, odd):
            with pytest.raises((ValueError, TypeError)):
                _consume(unpack([NUMBERS[message], *changed]))


def _consume(message: object) -> None:
    """Unpack the rows of a message too."""
    if isinstance(message, RolloutNotice):
        tuple(message.unpack(0))
    if isinstance(message, CrashReports):
        tuple(message.unpack())


def make_hello(vm: Vm, number: int) -> bytes:
    return pack(
        Hello(
            name='odd',
            process=f'p-{number}',
            address='127.0.0.1:9',
            zone='zone-a',
            version=0,
            digest=b'',
            features=2**20 - 1,
        )
    )


async def send_each(vm: Vm, messages: list[bytes]) -> None:
    """Send each message over a stream of its own, behind a hello."""
    core = vm.daemon.core
    host, _, port = core.cfg.peers.rpartition(':')
    for number, message in enumerate(messages):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(make_hello(vm, number) + message)
        await asyncio.sleep(0)
        writer.close()


async def test_odd_messages_leave_other_streams_and_tasks(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A value was kept and failed later, in a task that checks streams."""
    async with open_vms(2) as vms:
        entry, remote = vms
        remote.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        link = find_link(entry, 'vm-1')
        assert link is not None
        stream = link._stream
        messages = [*make_odd_messages(), *MALFORMED]
        await send_each(entry, messages)
        await asyncio.sleep(0.5)
        response = await send_request(entry, render(deadline_ms=2000))
        assert response.status == 200
        assert link._stream is stream
        assert not any(record.exc_info for record in caplog.records)


async def test_odd_messages_over_a_link_leave_the_tasks_running(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The states of roll-outs are compared ten times a second."""
    async with open_vms(2) as vms:
        entry, remote = vms
        remote.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        link = find_link(entry, 'vm-1')
        assert link is not None
        stream = link._stream
        assert stream is not None
        for packed in make_odd_messages():
            with suppress(ValueError, TypeError):
                message = unpack(msgpack.unpackb(packed))
                if not isinstance(message, Hello):
                    link._receive(stream, message)
        await asyncio.sleep(0.5)
        assert not any(task.done() for task in entry.daemon._tasks)
        assert not any(record.exc_info for record in caplog.records)
