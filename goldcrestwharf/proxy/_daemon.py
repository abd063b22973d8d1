"""The daemon of the request path."""

import asyncio
from collections.abc import Iterable

import attrs

from goldcrestwharf.background import start_tasks
from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.proxy._assembly import (
    make_fleet,
    make_sessions,
)
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._make_local_target import make_local_target
from goldcrestwharf.proxy._make_request_handler import make_request_handler
from goldcrestwharf.proxy._peer_discovery import (
    handle_hello,
    make_hello,
    request_known_peers,
)
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._reader_role import ReaderRole
from goldcrestwharf.proxy._rollout_runner import RolloutRunner
from goldcrestwharf.proxy._seeds import query_seeds
from goldcrestwharf.proxy._stream_monitor import monitor_streams
from goldcrestwharf.proxy._target_announcer import TargetAnnouncer


@attrs.frozen(kw_only=True)
class Activity:
    """Number of requests in progress, of callers and of other daemons.

    ``unsent`` is the size, in bytes, of the answers to them that are still
    to be sent. ``last_request_at`` is the monotonic time of the last request
    of a caller, in seconds.
    """

    in_flight: int
    unsent: int
    last_request_at: float


class ProxyDaemon:
    """Proxy between callers and targets, including the local target.

    Its inputs are set through ``core``: heartbeats of the target in the
    instance tracker (then call :meth:`handle_target_change`), configurations
    in the holder, and other daemons in the directory (then call
    :meth:`handle_directory_change`). ``reader_role`` says whether this daemon
    has to read configurations from the store. ``rollout_statuses`` says which
    statuses of roll-outs it has to write there.
    """

    def __init__(self, *, core: Core) -> None:
        """Create the components; :meth:`start` opens the listeners."""
        self.core = core
        self._local_target = make_local_target(core)
        self._announcer = TargetAnnouncer(
            core=core, local_target=self._local_target
        )
        self._sessions = make_sessions(
            core,
            self._local_target,
            self._announcer.describe,
            self._receive_hello,
        )
        core.crash_exchange.watch(self._sessions.broadcast)
        self._fleet = make_fleet(
            core,
            self._local_target,
            self._announcer.describe,
            self._receive_hello,
        )
        core.quotas.watch(self._fleet.links)
        self.reader_role = ReaderRole(
            core=core,
            fleet=self._fleet,
            sessions=self._sessions,
        )
        self._callers = HttpListener(
            handler=core.target_calls.count(
                make_request_handler(core, self._fleet).answer
            ),
            limits=lambda: core.holder.limits,
            budget=core.transfers.budget,
        )
        core.rollouts.watch(self._sessions.broadcast)
        self._rollouts = RolloutRunner(
            core=core, fleet=self._fleet, local_target=self._local_target
        )
        self.rollout_statuses = self._rollouts.statuses
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start listening for other daemons and callers."""
        await self._sessions.listen(self.core.cfg.peers)
        await self._callers.listen(self.core.cfg.callers)
        self._tasks = start_tasks(
            {
                'streams': lambda: monitor_streams(
                    self.core, self._fleet, self._sessions.check, self._check
                ),
                'rollouts': self._rollouts.run,
            }
        )

    async def contact_seeds(self, addresses: Iterable[str]) -> None:
        """Ask the daemons at some addresses for the peers that they know."""
        await query_seeds(
            addresses,
            hello=make_hello(self.core),
            receive_hello=self._receive_hello,
        )

    def handle_target_change(self) -> None:
        """Handle a change of the local target."""
        self._local_target.refresh()
        self._announcer.announce_changes(self._sessions.broadcast)

    def handle_directory_change(self) -> None:
        """Handle a change of the directory."""
        self._fleet.update_links()

    def begin_shutdown(
        self, ends_at: float, *, began_at: float | None = None
    ) -> None:
        """Announce the shutdown at ``ends_at``, and continue to serve.

        It counts from ``began_at``, or from now.
        """
        self.core.shutdown.begin(ends_at, began_at=began_at)
        self._callers.drain()
        self._announcer.announce_changes(self._sessions.broadcast)

    def activity(self) -> Activity:
        """Return the current activity."""
        serving = self._callers.serving
        return Activity(
            in_flight=serving.in_flight
            + self._local_target.in_flight
            + len(self.core.transfers.queue),
            unsent=self._callers.count_unsent()
            + sum(
                session.count_unsent_replies()
                for session in self._sessions.by_process.values()
            ),
            last_request_at=serving.last_request_at,
        )

    def close(self) -> None:
        """Close all connections."""
        self._callers.close()
        for task in self._tasks:
            task.cancel()
        self.core.quotas.gate.close()
        self._fleet.close()
        self._sessions.close()

    def _check(self, now: float) -> None:
        self._announcer.announce_changes(self._sessions.broadcast)
        request_known_peers(self.core, self._fleet, now)
        self._fleet.update_links()
        self.core.quotas.check()
        self.reader_role.check(now)

    def _receive_hello(self, hello: Hello) -> None:
        if handle_hello(self.core, hello):
            self._fleet.update_links()
        link = self._fleet.links.get(hello.name)
        if link is not None and not link.is_up:
            link.opener.backoff.skip_wait()
