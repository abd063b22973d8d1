import json

import pytest
import typer

from goldcrestwharf.ui._output import ExitCode, exit_with, print_json


@pytest.mark.parametrize('code', list(ExitCode))
def test_exit_with_prints_errors_and_exits(
    code: ExitCode,
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(typer.Exit) as caught:
        exit_with(code, ['first', 'second'])
    assert caught.value.exit_code == code
    assert capsys.readouterr() == ('', 'first\nsecond\n')


def test_print_json_prints_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    print_json({'b': 'a\nb', 'a': 1})
    printed = capsys.readouterr().out
    assert printed.count('\n') == 1
    assert json.loads(printed) == {'a': 1, 'b': 'a\nb'}
