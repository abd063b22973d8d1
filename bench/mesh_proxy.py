"""Run one proxy daemon for a measurement.

Prints the addresses for callers and for peers on one line. After that the
log is written to the null device, in the same way as on the platform.
"""

import argparse
import asyncio
import os
import random
import socket

from goldcrestwharf.discovery import (
    DaemonRecord,
    Heartbeat,
    InstanceState,
    ReportedRecord,
)
from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.loglines import set_up_json_log
from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.policy import (
    PolicyHolder,
    PolicySnapshot,
    PolicyTable,
    RoutePolicy,
)
from goldcrestwharf.proxy import (
    HeaderNames,
    ProxyDaemon,
    ProxySettings,
    make_daemon,
)

_HOST = '127.0.0.1'
_SERVICE = 'menu'
_ZONE = 'recife-a'

#: Response header that marks a response of the bench's target as complete.
_NAMES = HeaderNames(proof=b'Content-Type')

#: Interval between writes of the log, as on the platform.
_LOG_INTERVAL_S = 0.25


def make_snapshot() -> PolicySnapshot:
    """Return a configuration with one route."""
    route = RoutePolicy(
        name='menu-web',
        host='menu.example',
        path_prefix='/menu/',
        weights=((_SERVICE, 1),),
        timeout=5,
        objective=1,
        max_tries=2,
        priority=1,
        is_repeatable=True,
    )
    return PolicySnapshot(
        version=1,
        table=PolicyTable(routes=(route,)),
        services=frozenset((_SERVICE,)),
        limits=CallerLimits(),
        document=b'1',
    )


def find_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port = probe.getsockname()[1]
    return f'{_HOST}:{port}'


def make_proxy(name: str, target: str) -> ProxyDaemon:
    """Return the daemon of ``target`` with an active configuration."""
    holder = PolicyHolder()
    daemon = make_daemon(
        cfg=ProxySettings(
            name=name,
            zone=_ZONE,
            callers=find_address(),
            peers=find_address(),
            target=target,
            service=_SERVICE,
            heartbeat_period=60,
            drain_timeout=2,
            grace_period=6,
            budget=RetryBudgetTerms(ratio=0.2, slack=60, window=10),
            names=_NAMES,
        ),
        rng=random.Random(1),
        holder=holder,
        offer=lambda written, source: None,
    )
    holder.offer(make_snapshot())
    return daemon


def add_target(daemon: ProxyDaemon) -> None:
    """Record a heartbeat that reports the local target as ready."""
    core = daemon.core
    core.instance_tracker.record_heartbeat(
        Heartbeat(
            instance_id='i-1',
            started_ms=1,
            sequence=1,
            service=_SERVICE,
            address=core.cfg.target,
            slots=1000,
            state=InstanceState.READY,
        ),
        core.clock(),
    )
    daemon.handle_target_change()


def add_peer(daemon: ProxyDaemon, address: str) -> None:
    """Add the target's daemon to the known peers."""
    record = DaemonRecord(name='far', address=address, zone=_ZONE)
    core = daemon.core
    core.directory.record_report(ReportedRecord(record=record), core.clock())
    daemon.handle_directory_change()


async def run(args: argparse.Namespace) -> None:
    """Serve until the process is terminated."""
    daemon = make_proxy(args.vm, args.target)
    await daemon.start()
    if args.far:
        add_peer(daemon, args.far)
    else:
        add_target(daemon)
    cfg = daemon.core.cfg
    print(cfg.callers, cfg.peers, flush=True)
    os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
    lines = set_up_json_log(args.log_level)
    while True:
        await asyncio.sleep(_LOG_INTERVAL_S)
        lines.flush_lines()


def main() -> None:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--vm', required=True)
    parser.add_argument('--target', required=True)
    parser.add_argument('--far')
    parser.add_argument('--log-level', default='INFO')
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
