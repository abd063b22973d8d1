"""Test the handler of log lines: whole lines, bounded and non-blocking."""

import json
import logging
import os

from goldcrestwharf.loglines import EventLog, LineHandler
from goldcrestwharf.loglines._lines import (
    _MAX_QUEUED_LINES,
    MAX_INFO_LINES,
    make_formatter,
)

PIPE_BYTES = 1_000_000


def open_log(name: str) -> tuple[EventLog, LineHandler, int]:
    reading, writing = os.pipe()
    handler = LineHandler(descriptor=writing)
    handler.setFormatter(make_formatter())
    logger = logging.getLogger(name)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    os.set_blocking(reading, False)
    return EventLog(name), handler, reading


def test_event_is_one_json_line_with_its_fields() -> None:
    log, handler, reading = open_log('test.one')
    log.note('request.refused', request='r-1', age_ms=12, name='no clash')
    log.warning('store.lost', cause='line\nbreak')
    handler.flush_lines()
    lines = os.read(reading, PIPE_BYTES).decode().splitlines()
    first, second = (json.loads(line) for line in lines)
    assert first['event'] == 'request.refused'
    assert (first['request'], first['age_ms']) == ('r-1', 12)
    assert first['name'] == 'no clash'
    assert second['level'] == 'WARNING'
    assert second['cause'] == 'line\nbreak'


def test_logging_does_not_block_if_nothing_reads_the_pipe() -> None:
    log, handler, reading = open_log('test.two')
    for number in range(_MAX_QUEUED_LINES * 3):
        log.warning('peer.lost', number=number, padding='x' * 100)
        if number % 100 == 0:
            handler.flush_lines()
    assert handler.dropped > 0
    chunks = []
    handler.flush_lines()
    while chunk := read_some(reading):
        chunks.append(chunk)
        handler.flush_lines()
    lines = b''.join(chunks).splitlines()
    events = [json.loads(line) for line in lines]
    numbers = [event['number'] for event in events if 'number' in event]
    assert numbers == sorted(numbers)
    assert len(numbers) + handler.dropped == _MAX_QUEUED_LINES * 3


def test_info_lines_over_the_limit_are_dropped_and_counted() -> None:
    log, handler, reading = open_log('test.flood')
    for number in range(MAX_INFO_LINES + 50):
        log.note('request.refused', number=number)
    log.warning('store.lost')
    handler.flush_lines()
    lines = os.read(reading, PIPE_BYTES).splitlines()
    assert len(lines) == MAX_INFO_LINES + 1
    assert handler.dropped == 50


def read_some(reading: int) -> bytes:
    try:
        return os.read(reading, PIPE_BYTES)
    except BlockingIOError:
        return b''


def test_lines_are_dropped_if_the_pipe_is_closed() -> None:
    log, handler, reading = open_log('test.three')
    os.close(reading)
    log.note('process.started')
    handler.flush_lines()
    assert handler.dropped == 1
