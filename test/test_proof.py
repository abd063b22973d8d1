"""Check that the proof pages name tests that exist, and leave no cell out."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROOF = ROOT / 'docs' / 'PROOF.md'
PAGES = (PROOF, *sorted((ROOT / 'docs/proof').glob('*.md')))

_NAMED = re.compile(r'`((?:[\w/]+/)?test_\w+\.py)(?:::(\w+))?`')
_ALSO = re.compile(r'`(?:::)?(test_\w+)`')
_LABEL = re.compile(r'\b[A-Z]\d+\b')
_FAULTS = 10
_PROMISES = 9


def find_source(path: str) -> str:
    """Return the text of a test file, named with or without its folder."""
    pattern = path if '/' in path else f'test/**/{path}'
    found = sorted(ROOT.glob(pattern))
    assert len(found) == 1, f'{path} names {len(found)} files'
    return found[0].read_text(encoding='utf-8')


def check_line(line: str) -> int:
    """Check the tests that a line names and return their number."""
    named = _NAMED.findall(line)
    sources = [find_source(path) for path, _ in named]
    for source, (path, name) in zip(sources, named, strict=True):
        assert not name or f'def {name}(' in source, f'{path}::{name}'
    for name in _ALSO.findall(line):
        found = [source for source in sources if f'def {name}(' in source]
        assert found, f'{name} is in none of the files of: {line}'
    return len(named)


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_each_named_test_exists(page: Path) -> None:
    lines = page.read_text(encoding='utf-8').splitlines()
    assert sum(check_line(line) for line in lines if line.startswith('|'))


def test_matrix_has_each_promise_and_each_fault() -> None:
    lines = PROOF.read_text(encoding='utf-8').splitlines()
    rows = [line for line in lines if re.match(r'\| \d ', line)]
    assert len(rows) == _PROMISES
    for row in rows:
        cells = [cell.strip() for cell in row.strip('|').split('|')]
        assert len(cells) == _FAULTS + 1, row
        assert all(cells), row


def test_each_label_of_the_matrix_is_explained() -> None:
    text = PROOF.read_text(encoding='utf-8')
    matrix, _, labels = text.partition('## Labels')
    explained = set(re.findall(r'^\| ([A-Z]\d+) \|', labels, re.MULTILINE))
    cells = '\n'.join(
        line for line in matrix.splitlines() if line.startswith('|')
    )
    assert set(_LABEL.findall(cells)) == explained
