"""Check that what the pages name exists: pages, commands and settings."""

import re
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest
import typer

from goldcrestwharf.settings import DaemonSettings
from goldcrestwharf.ui import app

ROOT = Path(__file__).parent.parent
PAGES = (ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md')))
OPERATORS = tuple(sorted((ROOT / 'docs/operators').glob('*.md')))

_LINK = re.compile(r'\]\(([^)\s]+)\)')
_SPAN = re.compile(r'`([^`]+)`')
_COMMAND = re.compile(r'(?<![\w./-])goldcrestwharf ([a-z][a-z-]*)([^|`]*)')
_OPTION = re.compile(r'(?<!\S)(--[a-z][a-z-]*)')
_DOTTED = re.compile(r'`([a-z_]+)\.([a-z_]+)`')
_INSTRUMENT = re.compile(r"\.create_\w+\(\s*'([a-z_.]+)'")
_EVENT = re.compile(r"_log\.\w+\(\s*'([a-z_]+\.[a-z_]+)")


def name_of(page: Path) -> str:
    return str(page.relative_to(ROOT))


def find_code(page: Path) -> Iterator[str]:
    """Yield the indented or fenced lines and the code spans of a page."""
    is_fenced = False
    for line in page.read_text(encoding='utf-8').splitlines():
        if line.startswith('```'):
            is_fenced = not is_fenced
        elif is_fenced or line.startswith('    '):
            yield line
        else:
            yield from _SPAN.findall(line)


def find_commands() -> dict[str, set[str]]:
    """Return the options of each command."""
    group = typer.main.get_command(app)
    commands = getattr(group, 'commands', {})
    return {
        name: {'--help'}.union(*(option.opts for option in command.params))
        for name, command in commands.items()
    }


def find_names() -> set[str]:
    """Return the settings, metrics and log events that have two parts."""
    names: set[str] = set()
    for section in attrs.fields(DaemonSettings):
        if attrs.has(section.type):
            fields = attrs.fields(section.type)
            names.update(f'{section.name}.{field.name}' for field in fields)
    for path in (ROOT / 'goldcrestwharf').rglob('*.py'):
        source = path.read_text(encoding='utf-8')
        names.update(_INSTRUMENT.findall(source), _EVENT.findall(source))
    return names


def find_sections() -> set[str]:
    fields = attrs.fields(DaemonSettings)
    return {field.name for field in fields if attrs.has(field.type)}


@pytest.mark.parametrize('page', PAGES, ids=name_of)
def test_each_link_points_to_a_file(page: Path) -> None:
    links = _LINK.findall(page.read_text(encoding='utf-8'))
    paths = [link.partition('#')[0] for link in links if '://' not in link]
    lost = [path for path in paths if not (page.parent / path).exists()]
    assert not lost


@pytest.mark.parametrize('page', PAGES, ids=name_of)
def test_each_command_and_option_exists(page: Path) -> None:
    commands = find_commands()
    assert 'publish' in commands
    for code in find_code(page):
        for command, rest in _COMMAND.findall(code):
            assert command in commands, code
            unknown = set(_OPTION.findall(rest)) - commands[command]
            assert not unknown, code


@pytest.mark.parametrize('page', OPERATORS, ids=name_of)
def test_each_setting_exists(page: Path) -> None:
    sections, names = find_sections(), find_names()
    assert 'peers.heartbeat_ms' in names
    written = _DOTTED.findall(page.read_text(encoding='utf-8'))
    named = {f'{one}.{two}' for one, two in written if one in sections}
    assert named <= names
