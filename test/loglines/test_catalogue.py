"""Compare the events and metrics in the source with the reference page."""

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
    'background',
)
EVENT = re.compile(r"_log\.(?:note|warning|exception)\(\s*'([a-z_.]+)'")
INSTRUMENT = re.compile(r"\.create_\w+\(\s*'([a-z_.]+)'")


def find_in_source(pattern: re.Pattern[str]) -> set[str]:
    found: set[str] = set()
    for package in PACKAGES:
        folder = ROOT / 'goldcrestwharf' / package
        for path in folder.glob('*.py'):
            found.update(pattern.findall(path.read_text()))
    return found


def find_documented() -> set[str]:
    page = (ROOT / 'docs' / 'reference' / 'events.md').read_text()
    rows = [row for row in page.splitlines() if row.startswith('| `')]
    return {
        name
        for row in rows
        for name in re.findall('`([^`]+)`', row.split('|')[1])
    }


def test_each_event_and_metric_is_documented() -> None:
    in_source = find_in_source(EVENT) | find_in_source(INSTRUMENT)
    assert in_source - find_documented() == set()


def test_each_documented_event_is_logged() -> None:
    in_source = find_in_source(EVENT) | find_in_source(INSTRUMENT)
    events = {name for name in find_documented() if '.' in name}
    assert events - in_source == set()
