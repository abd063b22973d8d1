import json

import pytest
import typer

from goldcrestwharf.ui._output import ExitCode, end, show_json


@pytest.mark.parametrize('code', list(ExitCode))
def test_end_complains_and_exits(
    code: ExitCode,
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(typer.Exit) as caught:
        end(code, ['first', 'second'])
    assert caught.value.exit_code == code
    assert capsys.readouterr() == ('', 'first\nsecond\n')


def test_json_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    show_json({'b': 'a\nb', 'a': 1})
    printed = capsys.readouterr().out
    assert printed.count('\n') == 1
    assert json.loads(printed) == {'a': 1, 'b': 'a\nb'}
