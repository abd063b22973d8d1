import json
from datetime import UTC, datetime
from pathlib import Path

import pytest
from typer.testing import CliRunner

from goldcrestwharf.loglines import DaemonLog, find_final_event, find_timeline
from goldcrestwharf.ui import app


def line(event: str, second: float, **fields: object) -> str:
    at = datetime.fromtimestamp(second, UTC).isoformat()
    return json.dumps({'event': event, 'time': at, **fields})


def with_prefix(prefix: str, line_text: str) -> str:
    return f'   3.1 {prefix} {line_text}'


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
            with_prefix('vm-2', line('target.answer_lost', 10.05, request='a')),
            with_prefix('vm-3', line('try.failed', 10.02, request='a.call')),
        ),
    ),
)


def test_timeline_orders_the_lines_of_all_logs_by_time() -> None:
    timeline = find_timeline('a', LOGS)
    assert [(entry.source, entry.event) for entry in timeline] == [
        ('vm-3', 'try.failed'),
        ('vm-2', 'target.answer_lost'),
        ('vm-1', 'try.failed'),
        ('vm-1', 'request.failed'),
    ]
    assert [entry.offset_ms for entry in timeline] == [20, 50, 100, 200]


def test_final_event_is_the_last_one_that_ends_the_request() -> None:
    final_event = find_final_event(find_timeline('a', LOGS))
    assert final_event is not None
    assert final_event.fields['cause'] == 'not repeatable'
    assert find_final_event(()) is None


@pytest.mark.parametrize(
    ('request_id', 'code', 'expected'),
    [
        ('a', 0, 'ended at vm-1 by request.failed: not repeatable'),
        ('none', 1, 'no line names request none'),
    ],
)
def test_command_shows_what_ended_a_request(
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
