import json
from datetime import UTC, datetime
from pathlib import Path

import pytest
from typer.testing import CliRunner

from goldcrestwharf.loglines import DaemonLog, find_ending, find_timeline
from goldcrestwharf.ui import app


def line(event: str, second: float, **fields: object) -> str:
    at = datetime.fromtimestamp(second, UTC).isoformat()
    return json.dumps({'event': event, 'time': at, **fields})


def at_source(prefix: str, written: str) -> str:
    return f'   3.1 {prefix} {written}'


LOGS = (
    DaemonLog(
        name='vm-1',
        lines=(
            line('try.failed', 10.1, request='a', age_ms=100, cause='lost'),
            line('request.failed', 10.2, request='a', cause='not repeatable'),
            line('request.refused', 10.2, request='ab', cause='no-target'),
            'no JSON { at all',
        ),
    ),
    DaemonLog(
        name='all',
        lines=(
            at_source('vm-2', line('target.answer_lost', 10.05, request='a')),
            at_source('vm-3', line('try.failed', 10.02, request='a.call')),
        ),
    ),
)


def test_lines_of_all_logs_are_put_in_order() -> None:
    timeline = find_timeline('a', LOGS)
    assert [(entry.source, entry.event) for entry in timeline] == [
        ('vm-3', 'try.failed'),
        ('vm-2', 'target.answer_lost'),
        ('vm-1', 'try.failed'),
        ('vm-1', 'request.failed'),
    ]
    assert [entry.offset_ms for entry in timeline] == [20, 50, 100, 200]


def test_ending_is_the_last_word_of_the_entry_daemon() -> None:
    ending = find_ending(find_timeline('a', LOGS))
    assert ending is not None
    assert ending.fields['cause'] == 'not repeatable'
    assert find_ending(()) is None


@pytest.mark.parametrize(
    ('request_id', 'code', 'expected'),
    [
        ('a', 0, 'ended at vm-1 by request.failed: not repeatable'),
        ('none', 1, 'no line names request none'),
    ],
)
def test_command_tells_what_ended_a_request(
    tmp_path: Path,
    request_id: str,
    code: int,
    expected: str,
) -> None:
    path = tmp_path / 'vm-1.log'
    path.write_text('\n'.join(LOGS[0].lines))
    outcome = CliRunner().invoke(app, ['explain', request_id, str(path)])
    assert outcome.exit_code == code
    assert expected in outcome.output
