"""Test the JSON format of the log."""

import json
import logging
import sys

import pytest

from goldcrestwharf.telemetry._logs import JsonFormatter


def format_message(message: str, *args: object) -> dict[str, str]:
    record = logging.LogRecord(
        name='goldcrestwharf.test',
        level=logging.WARNING,
        pathname='',
        lineno=1,
        msg=message,
        args=args,
        exc_info=None,
    )
    entry: dict[str, str] = json.loads(JsonFormatter().format(record))
    return entry


@pytest.mark.parametrize(
    ('message', 'expected'),
    [
        ('daemon.started', {}),
        ('config.applied version=1.4 routes=2', {'version': '1.4'}),
        (
            'peer.refused reason=no stream to a=b; wait vm=vm-1',
            {'reason': 'no stream to', 'a': 'b; wait', 'vm': 'vm-1'},
        ),
        ('some words without fields', {'text': 'words without fields'}),
        ('event note="ação"', {'note': '"ação"'}),
    ],
)
def test_event_and_fields_are_parsed_from_the_message(
    message: str,
    expected: dict[str, str],
) -> None:
    entry = format_message(message)
    assert entry['event'] == message.partition(' ')[0]
    assert entry['level'] == 'warning'
    assert expected.items() <= entry.items()


def test_entry_with_line_breaks_and_traceback_is_one_line() -> None:
    formatted = JsonFormatter().format(make_failed_record())
    assert '\n' not in formatted
    assert 'broken on purpose' in json.loads(formatted)['exception']


def make_failed_record() -> logging.LogRecord:
    """Return the record of an error with a traceback."""
    try:
        int('broken on purpose')
    except ValueError:
        failure = sys.exc_info()
    return logging.LogRecord(
        name='goldcrestwharf.test',
        level=logging.ERROR,
        pathname='',
        lineno=1,
        msg='peer.handler_failed vm=a\nb',
        args=(),
        exc_info=failure,
    )
