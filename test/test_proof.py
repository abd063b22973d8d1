"""Check that each test that the proof pages name exists."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = (ROOT / 'docs' / 'PROOF.md', *sorted((ROOT / 'docs/proof').glob('*')))
_NAMED = re.compile(r'`(test/[\w/]+\.py)((?:::\w+)*)')
_ALSO = re.compile(r'`::(\w+)')


def find_named(page: Path) -> list[tuple[str, str]]:
    """Return the file and the function of each test that a page names."""
    named: list[tuple[str, str]] = []
    for line in page.read_text(encoding='utf-8').splitlines():
        found = _NAMED.findall(line)
        named.extend((path, name.strip(':')) for path, name in found)
        if found:
            also = _ALSO.findall(line)
            named.extend((found[-1][0], name) for name in also)
    return named


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_each_named_test_exists(page: Path) -> None:
    named = find_named(page)
    assert named
    for path, name in named:
        source = (ROOT / path).read_text(encoding='utf-8')
        assert not name or f'def {name}(' in source, f'{path}::{name}'


def test_each_cell_of_the_matrix_is_filled() -> None:
    page = (ROOT / 'docs' / 'PROOF.md').read_text(encoding='utf-8')
    rows = [line for line in page.splitlines() if line.startswith('|')]
    cells = [row.strip('|').split('|') for row in rows]
    assert all(cell.strip() for row in cells for cell in row)
