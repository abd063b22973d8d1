"""Show the status of a daemon, or the daemons that lag behind a version."""

import json
from collections.abc import Iterator
from typing import Annotated

import typer

from goldcrestwharf.admin import (
    DaemonReport,
    FleetReport,
    StatusDocument,
)
from goldcrestwharf.publishing import encode_document
from goldcrestwharf.ui._admin_client import (
    AdminToken,
    DaemonAddress,
    fetch_document,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import print_json, print_line

DEFAULT_DAEMON = '127.0.0.1:7002'


@app.command(
    name='status',
    epilog='Example: goldcrestwharf status --daemon 10.0.0.7:7002 --fleet',
)
def status_command(
    daemon: DaemonAddress = DEFAULT_DAEMON,
    token: AdminToken = '',
    *,
    fleet: Annotated[
        bool,
        typer.Option(
            '--fleet',
            help='Name the daemons that do not run the version, and why.',
        ),
    ] = False,
    version: Annotated[
        str,
        typer.Option(help='Version to compare with; else what this runs.'),
    ] = '',
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print one line of JSON.'),
    ] = False,
) -> None:
    """Show what a daemon runs, what it knows, and what is wrong."""
    document: StatusDocument | FleetReport
    if fleet:
        query = f'?version={version}' if version else ''
        document = fetch_document(
            daemon,
            f'/v1/fleet{query}',
            token,
            FleetReport,
        )
    else:
        document = fetch_document(daemon, '/v1/status', token, StatusDocument)
    _print(document, as_json=as_json)


def _print(
    document: StatusDocument | FleetReport,
    *,
    as_json: bool,
) -> None:
    if as_json:
        print_json(json.loads(encode_document(document)))
        return
    lines = (
        _format_fleet(document)
        if isinstance(document, FleetReport)
        else _format_status(document)
    )
    for line in lines:
        print_line(line)


def _format_status(status: StatusDocument) -> Iterator[str]:
    yield from _format_daemon(status)
    for zone in status.zones:
        stale = ', not reachable' if zone.is_stale else ''
        yield (
            f'zone      {zone.zone}: {zone.alive} alive, {zone.suspect} '
            f'suspect, {zone.leaving} leaving, {zone.dead} dead, '
            f'{zone.targets} targets{stale}'
        )
    for count in status.versions:
        yield f'heard     {count.daemons} daemons on {count.version}'
    for trouble in _find_trouble(status):
        yield f'trouble   {trouble}'


def _format_daemon(status: StatusDocument) -> Iterator[str]:
    local = status.daemon
    source = 'the platform log' if local.is_reader else local.parent or 'nobody'
    version = local.version or 'none yet'
    floor = local.floor or 'any'
    yield f'daemon    {local.vm} in {local.zone}, release {local.release}'
    yield f'version   {version}, never below {floor}'
    yield f'follows   {source}'
    yield f'requests  {status.requests_in_flight} in flight'
    for target in status.targets:
        yield (
            f'target    {target.name} of {target.group} at '
            f'{target.address}, {target.slots} slots, {target.state}'
        )


def _find_trouble(status: StatusDocument) -> Iterator[str]:
    if status.is_cut_off:
        yield (
            'most of the zone vanished at once, so this daemon presumes to '
            'be cut off itself: check its network'
        )
    if status.crashing_requests:
        yield (
            f'{status.crashing_requests} requests are refused because they '
            'kill targets: see goldcrestwharf crashes'
        )
    yield from status.daemon.trouble


def _format_fleet(report: FleetReport) -> Iterator[str]:
    version = report.version or 'none yet'
    yield (
        f'version {version}: {report.on_version} of {report.members} daemons'
    )
    for behind in report.behind:
        yield _format_behind(behind)
    for vm in report.unreachable:
        yield f'{vm} gave no report: check that its VM and network are up'


def _format_behind(behind: DaemonReport) -> str:
    reasons = '; '.join(behind.trouble) or 'no trouble reported'
    running = behind.version or 'nothing'
    return f'{behind.vm} in {behind.zone} runs {running}: {reasons}'
