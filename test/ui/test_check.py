"""Tests of the exit codes and outputs of the commands check and settings."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from goldcrestwharf.ui import app

SETS = Path(__file__).parents[1] / 'objects/sets'
GOOD = str(SETS / 'good-small.jsonc')
OTHER = str(SETS / 'good-canary.jsonc')
BAD = str(SETS / 'bad-reference.jsonc')
EMPTY = str(SETS / 'warn-empty.jsonc')
DEFAULT = 'goldcrestwharf/settings/default.jsonc'

runner = CliRunner()


@pytest.mark.parametrize(
    ('args', 'code', 'expected'),
    [
        ([GOOD], 0, ''),
        ([EMPTY], 0, 'warning: set: there is no route'),
        ([BAD], 1, 'did you mean "menu"?'),
        ([GOOD, '--against', GOOD], 0, ''),
        ([GOOD, '--against', EMPTY], 0, ''),
        ([GOOD, '--against', OTHER], 1, 'it removes 5 of 5 objects'),
        ([EMPTY, '--against', GOOD], 1, 'it is empty'),
        (
            [EMPTY, '--against', GOOD, '--allow-large-removal'],
            0,
            'there is no route',
        ),
        (
            [GOOD, '--against', OTHER, '--team', 'kitchen'],
            1,
            'team "wire" owns it',
        ),
        ([GOOD, '--against', BAD], 2, 'did you mean'),
        ([str(SETS / 'none.jsonc')], 2, 'does not exist'),
        ([str(SETS)], 1, 'bad-comma.jsonc: set: line 4'),
        ([], 2, 'Missing argument'),
        ([GOOD, '--agianst', GOOD], 2, 'No such option'),
        (['--help'], 0, ''),
    ],
)
def test_check_exits_with_expected_code_and_errors(
    args: list[str],
    code: int,
    expected: str,
) -> None:
    outcome = runner.invoke(app, ['check', *args], env={'COLUMNS': '400'})
    assert outcome.exit_code == code
    assert expected in outcome.stderr
    assert 'Traceback' not in outcome.output


def test_check_of_valid_set_prints_object_counts() -> None:
    outcome = runner.invoke(app, ['check', GOOD])
    assert outcome.stdout.startswith('ok: 1 target groups, 1 services')
    assert not outcome.stderr


def test_check_of_invalid_set_prints_problems_to_stderr() -> None:
    outcome = runner.invoke(app, ['check', BAD])
    expected = Path(BAD).with_suffix('.expected').read_text()
    assert outcome.stderr == expected
    assert not outcome.stdout


@pytest.mark.parametrize('path', [GOOD, BAD, EMPTY])
def test_check_prints_all_problems_as_one_line_of_json(path: str) -> None:
    outcome = runner.invoke(app, ['check', path, '--json'])
    answer = json.loads(outcome.stdout)
    assert outcome.stdout.count('\n') == 1
    assert answer['ok'] is (outcome.exit_code == 0)
    assert len(answer['problems']) == outcome.stderr.count('\n')
    for problem in answer['problems']:
        assert sorted(problem) == [
            'field',
            'kind',
            'name',
            'reason',
            'remedy',
            'severity',
        ]


@pytest.mark.parametrize('command', ['check', 'settings'])
def test_help_shows_an_example(command: str) -> None:
    outcome = runner.invoke(app, [command, '--help'])
    assert f'Example: goldcrestwharf {command}' in outcome.stdout


@pytest.mark.parametrize(
    ('args', 'code', 'expected'),
    [
        (['--default'], 0, ''),
        (['--reference'], 0, ''),
        (['--check', DEFAULT], 1, 'cluster_key is still the one of'),
        (['--show', DEFAULT], 1, 'admin_token is still the one of'),
        (['--check', 'none.jsonc'], 2, 'does not exist'),
        ([], 2, 'choose one of'),
    ],
)
def test_settings_exits_with_expected_code_and_errors(
    args: list[str],
    code: int,
    expected: str,
) -> None:
    outcome = runner.invoke(app, ['settings', *args], env={'COLUMNS': '400'})
    assert outcome.exit_code == code
    assert expected in outcome.stderr


def test_settings_show_masks_secrets(tmp_path: Path) -> None:
    key = 'kL9-2vQx7_RtYp4WmZs8dFgHjB3nC6aE'
    token = 'aE6Cn3BjHgFd8sZmW4pYtR_7xQv2-9Lk'
    path = tmp_path / 'daemon.jsonc'
    written = Path(DEFAULT).read_text()
    written = written.replace('replace-me', key, 1)
    path.write_text(written.replace('replace-me', token))
    outcome = runner.invoke(app, ['settings', '--show', str(path)])
    shown = json.loads(outcome.stdout)
    assert outcome.exit_code == 0
    assert shown['cluster_key'] == shown['admin_token'] == '(hidden)'
    assert shown['peers']['heartbeat_ms'] == 1000
    assert key not in outcome.output
    assert token not in outcome.output


def test_check_of_folder_reports_each_file() -> None:
    outcome = runner.invoke(app, ['check', str(SETS)])
    assert outcome.exit_code == 1
    for path in SETS.glob('*.jsonc'):
        is_bad = path.name.startswith('bad')
        assert (f'{path.name}: ok' in outcome.stdout) is not is_bad, path
        assert (f'{path.name}: ' in outcome.stderr) or not is_bad, path


def test_check_of_folder_without_sets_is_a_usage_error(tmp_path: Path) -> None:
    outcome = runner.invoke(app, ['check', str(tmp_path)])
    assert outcome.exit_code == 2
    assert 'no .jsonc or .json file' in outcome.stderr
