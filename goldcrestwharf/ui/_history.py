"""Show the history of publishes."""

from collections.abc import Iterator

import anyio
import cattrs

from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.publishing import HistoryEntry, list_history
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._arguments import JsonFlag
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_json,
    print_line,
)
from goldcrestwharf.ui._sources import (
    DEFAULT_URL,
    PlatformOption,
    read_platform,
)


@app.command(
    name='history',
    epilog='Example: goldcrestwharf history --json',
)
def history_command(
    platform: PlatformOption = DEFAULT_URL,
    as_json: JsonFlag = False,
) -> None:
    """List the publishes that the platform's log keeps.

    Exits with 3 if the platform can't be reached.
    """
    try:
        replica = anyio.run(read_platform, platform)
    except GoldcrestwharfError as exc:
        exit_with(ExitCode.UNREACHABLE, [exc])
    entries = list_history(replica)
    if as_json:
        print_json(cattrs.unstructure(entries))
        return
    for entry in entries:
        for line in _describe(entry):
            print_line(line)


def _describe(entry: HistoryEntry) -> Iterator[str]:
    author = entry.author or 'unknown author'
    outcome = f'version {entry.version}'
    if entry.refusal:
        outcome = f'refused ({entry.refusal})'
    yield f'{entry.published_at} {outcome} by {author} {entry.note}'.rstrip()
    for line in (*entry.differences, *entry.details):
        yield f'  {line}'
