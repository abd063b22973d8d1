"""Construction of a daemon's components."""

import itertools
from collections.abc import Callable
from functools import partial

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._message_handlers import make_message_handlers
from goldcrestwharf.proxy._peer_discovery import make_hello, make_known_peers
from goldcrestwharf.proxy._peer_messages import Hello, TargetState
from goldcrestwharf.proxy._reader_role import make_version_update
from goldcrestwharf.proxy._session_context import SessionContext
from goldcrestwharf.proxy._sessions import Sessions

ReceiveHello = Callable[[Hello], None]
DescribeTarget = Callable[[], TargetState]


def make_sessions(
    core: Core,
    local_target: LocalTarget,
    describe_target: DescribeTarget,
    receive_hello: ReceiveHello,
) -> Sessions:
    """Create the component that serves the streams of other daemons."""
    sessions = Sessions(
        local_target=local_target,
        context=SessionContext(
            make_hello=lambda: make_hello(core),
            receive_hello=receive_hello,
            make_known_peers=lambda request: make_known_peers(core, request),
            describe_target=describe_target,
            find_document=core.config_exchange.find_document,
            make_version_update=lambda: make_version_update(core),
            find_report=local_target.report,
            make_crash_reports=core.crash_exchange.make_reports,
            grant_tokens=core.quotas.grant,
            make_rollout_notice=core.rollouts.make_notice,
            receive_evidence=core.rollouts.receive_evidence,
            find_pause=core.pauses.find_pause,
            timeouts=core.answer_timeouts,
            clock=core.clock,
            transfers=core.transfers,
            memory_bytes=core.cfg.memory_bytes,
        ),
    )
    core.transfers.watch_peers(partial(_count_buffered, sessions))
    return sessions


def make_fleet(
    core: Core,
    local_target: LocalTarget,
    describe_target: DescribeTarget,
    receive_hello: ReceiveHello,
) -> Fleet:
    """Create the component that connects to other daemons."""
    return Fleet(
        directory=core.directory,
        local_target=local_target,
        describe_target=describe_target,
        context=LinkContext(
            make_hello=lambda wanted: make_hello(core, wanted),
            receive_hello=receive_hello,
            handlers=make_message_handlers(core),
            handle_version=core.config_exchange.handle_version,
            receive_store_epoch=lambda epoch: core.store_epochs.record(
                epoch, is_direct=False
            ),
            handle_lost=lambda name: _handle_lost(core, name),
            handle_suspect=core.config_exchange.handle_lost,
            clock=core.clock,
            rng=core.rng,
            local_zone=core.cfg.zone,
            has_low_bandwidth_link=core.cfg.has_low_bandwidth_link,
            departures=core.departures,
            numbers=itertools.count(1),
            transfers=core.transfers,
        ),
    )


def _handle_lost(core: Core, daemon: str) -> None:
    core.quotas.handle_lost(daemon)
    core.config_exchange.handle_lost(daemon)


def _count_buffered(sessions: Sessions) -> int:
    """Return the bytes of messages to other daemons that wait to be sent."""
    return sum(
        session.stream.count_buffered()
        for session in sessions.by_process.values()
    )
