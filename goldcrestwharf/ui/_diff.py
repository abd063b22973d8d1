"""Show how a set differs from the active one."""

import anyio

from goldcrestwharf.documents import read_file
from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.objects import ObjectSet, Place, diff, parse_objects
from goldcrestwharf.publishing import Difference, list_differences
from goldcrestwharf.replay import Replica
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._arguments import DocumentPath, JsonFlag
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

_SET = Place(kind='set')


@app.command(
    name='diff',
    epilog='Example: goldcrestwharf diff shop.jsonc',
)
def diff_command(
    path: DocumentPath,
    platform: PlatformOption = DEFAULT_URL,
    as_json: JsonFlag = False,
) -> None:
    """Show what publishing a set would change.

    Exits with 1 if the set can't be read and with 3 if the platform can't be
    reached.
    """
    parsed = read_file(path, _SET).bind(parse_objects)
    objects = parsed.lash(
        lambda problems: exit_with(ExitCode.REFUSED, problems)
    ).unwrap()
    try:
        replica = anyio.run(read_platform, platform)
    except GoldcrestwharfError as exc:
        exit_with(ExitCode.UNREACHABLE, [exc])
    _report(replica, _compare(replica, objects), as_json=as_json)


def _compare(
    replica: Replica,
    objects: ObjectSet,
) -> tuple[Difference, ...]:
    snapshot = replica.snapshot
    before = ObjectSet() if snapshot is None else snapshot.objects
    return list_differences(diff(before, objects))


def _report(
    replica: Replica,
    differences: tuple[Difference, ...],
    *,
    as_json: bool,
) -> None:
    snapshot = replica.snapshot
    version = 'none' if snapshot is None else str(snapshot.version)
    lines = [str(each) for each in differences]
    if as_json:
        print_json({'version': version, 'differences': lines})
        return
    print_line(f'against version {version}:')
    for line in lines:
        print_line(f'  {line}')
