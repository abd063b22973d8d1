"""Join the parts of a daemon of the request path."""

import asyncio
from collections.abc import Iterable

import attrs

from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.proxy._assembly import (
    make_entry,
    make_fleet,
    make_owner,
    make_sessions,
)
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._introductions import (
    ask_known,
    make_hello,
    take_hello,
)
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._seeds import ask_seeds
from goldcrestwharf.proxy._store_reading import StoreReading
from goldcrestwharf.proxy._target_news import TargetNews
from goldcrestwharf.proxy._watching import watch_streams


@attrs.frozen(kw_only=True)
class Activity:
    """Count requests in progress, of callers and of other daemons.

    ``last_request_at`` is the monotonic time, in seconds, of the last
    request of a caller.
    """

    in_flight: int
    last_request_at: float


class ProxyDaemon:
    """Carry requests of callers to targets, the own one among them.

    What must be fed from outside: heartbeats of the target into the
    register (then call :meth:`note_target`), configurations into the
    holder, and other daemons into the directory (then
    :meth:`note_daemons`), all of ``core``. ``reading`` tells whether this
    daemon has to read configurations from the store.
    """

    def __init__(self, *, core: Core) -> None:
        """Build the parts; nothing is opened before :meth:`start`."""
        self.core = core
        self._owner = make_owner(core)
        self._news = TargetNews(core=core, owner=self._owner)
        self._sessions = make_sessions(
            core,
            self._owner,
            self._news.describe,
            self._receive_hello,
        )
        self._fleet = make_fleet(
            core,
            self._owner,
            self._news.describe,
            self._receive_hello,
        )
        self.reading = StoreReading(
            core=core,
            fleet=self._fleet,
            sessions=self._sessions,
        )
        self._callers = HttpListener(
            handler=make_entry(core, self._fleet).answer,
            limits=lambda: core.holder.limits,
        )
        self._watching: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for daemons and callers."""
        await self._sessions.listen(self.core.cfg.peers)
        await self._callers.listen(self.core.cfg.callers)
        self._watching = asyncio.get_running_loop().create_task(
            watch_streams(self.core, self._fleet, self._check),
        )

    async def meet(self, addresses: Iterable[str]) -> None:
        """Ask the daemons at some addresses whom they know."""
        await ask_seeds(
            addresses,
            hello=make_hello(self.core),
            receive_hello=self._receive_hello,
        )

    def note_target(self) -> None:
        """Follow a change of what the register knows."""
        self._owner.refresh()
        self._news.tell_changes(self._sessions.tell)

    def note_daemons(self) -> None:
        """Follow a change of the directory."""
        self._fleet.follow()

    def leave(self, ends_at: float) -> None:
        """Tell all that this daemon ends at a time; go on serving."""
        self.core.shutdown.begin(ends_at)
        self._callers.drain()
        self._news.tell_changes(self._sessions.tell)

    def activity(self) -> Activity:
        """Return what is in progress now."""
        serving = self._callers.serving
        return Activity(
            in_flight=serving.in_flight + self._owner.in_flight,
            last_request_at=serving.last_request_at,
        )

    def close(self) -> None:
        """End all connections."""
        self._callers.close()
        if self._watching is not None:
            self._watching.cancel()
        self._fleet.close()
        self._sessions.close()

    def _check(self, now: float) -> None:
        self._sessions.check(now)
        self._news.tell_changes(self._sessions.tell)
        ask_known(self.core, self._fleet, now)
        self._fleet.follow()

    def _receive_hello(self, hello: Hello) -> None:
        if take_hello(self.core, hello):
            self._fleet.follow()
        link = self._fleet.links.get(hello.name)
        if link is not None and not link.is_up:
            link.redial.hurry()
