"""Check that no field of an event makes the log fail."""

import logging
import os

import pytest

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.loglines._lines import LineHandler, make_formatter

DEPTH = 100_000


class Unprintable:
    """Value whose text can't be made."""

    def __repr__(self) -> str:
        """Fail as a value of another library may."""
        raise RuntimeError


def make_nested() -> list[object]:
    nested: list[object] = []
    for _ in range(DEPTH):
        nested = [nested]
    return nested


@pytest.mark.parametrize(
    'odd',
    [
        '\ud800',
        '\0',
        b'\xff',
        10**5000,
        float('nan'),
        float('inf'),
        make_nested(),
        Unprintable(),
        {(1, 2): 3},
    ],
    ids=lambda odd: type(odd).__name__,
)
def test_odd_field_doesnt_fail_the_part_that_logs_it(odd: object) -> None:
    reader, writer = os.pipe()
    handler = LineHandler(descriptor=writer)
    handler.setFormatter(make_formatter())
    logger = logging.getLogger('test.odd')
    logger.handlers = [handler]
    logger.propagate = False
    log = EventLog('test.odd')
    log.warning('odd.event', field=odd)
    log.warning('next.event')
    handler.flush_lines()
    assert b'next.event' in os.read(reader, 100_000)
    os.close(reader)
    os.close(writer)
