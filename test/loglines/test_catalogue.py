"""Test that each event and instrument of the request path is described."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGES = (
    'http1',
    'policy',
    'placement',
    'admission',
    'discovery',
    'proxy',
    'platform',
    'loglines',
)
WRITTEN = re.compile(r"_log\.(?:note|warn|exception)\(\s*'([a-z_.]+)'")
INSTRUMENT = re.compile(r"\.create_\w+\(\s*'([a-z_.]+)'")


def find_written(pattern: re.Pattern[str]) -> set[str]:
    written: set[str] = set()
    for package in PACKAGES:
        folder = ROOT / 'goldcrestwharf' / package
        for path in folder.glob('*.py'):
            written.update(pattern.findall(path.read_text()))
    return written


def find_described() -> set[str]:
    page = (ROOT / 'docs' / 'reference' / 'events.md').read_text()
    rows = [row for row in page.splitlines() if row.startswith('| `')]
    return {
        name
        for row in rows
        for name in re.findall('`([^`]+)`', row.split('|')[1])
    }


def test_each_event_and_metric_is_described() -> None:
    written = find_written(WRITTEN) | find_written(INSTRUMENT)
    assert written - find_described() == set()


def test_no_event_is_described_that_is_not_written() -> None:
    written = find_written(WRITTEN) | find_written(INSTRUMENT)
    events = {name for name in find_described() if '.' in name}
    assert events - written == set()
