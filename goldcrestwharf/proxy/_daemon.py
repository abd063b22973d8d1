"""Join the parts of a daemon of the request path."""

import asyncio
import itertools
import random
import uuid

from goldcrestwharf.discovery import (
    DaemonRecord,
    Directory,
    InstanceRegister,
)
from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Placement, WeightedSplit
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import _frames
from goldcrestwharf.proxy._entry import Entry, EntryContext
from goldcrestwharf.proxy._exchange import Exchange
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._link import LinkContext
from goldcrestwharf.proxy._owner import Owner, OwnerSettings
from goldcrestwharf.proxy._planner import Planner, PlannerContext
from goldcrestwharf.proxy._repeats import Repeats
from goldcrestwharf.proxy._sessions import SessionContext, Sessions
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.proxy._target_pool import TargetPool

_log = EventLog(__name__)

_MS_PER_S = 1000


class ProxyDaemon:
    """Carry requests of callers to targets, the own one among them.

    What must be fed from outside: heartbeats of the target into
    ``register`` (then call :meth:`note_target`), configurations into
    ``holder``, and other daemons into ``directory`` (then
    :meth:`note_daemons`).
    """

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        rng: random.Random,
        exchange: Exchange,
    ) -> None:
        """Build the parts; nothing is opened before :meth:`start`."""
        self.cfg = cfg
        self.clock = asyncio.get_running_loop().time
        self.holder = PolicyHolder()
        self.is_leaving = False
        self.directory = Directory(
            own=DaemonRecord(
                name=cfg.name,
                address=cfg.peers,
                zone=cfg.zone,
            ),
        )
        self.register = InstanceRegister(
            address=cfg.target,
            service=cfg.service,
            period=cfg.heartbeat_period,
        )
        self._process = uuid.UUID(int=rng.getrandbits(128)).hex
        self._rng = rng
        self._exchange = exchange
        self.owner = self._make_owner()
        self.sessions = self._make_sessions()
        self.fleet = self._make_fleet()
        self.callers = HttpListener(
            handler=self._make_entry().handle,
            limits=lambda: self.holder.limits,
        )
        self._watching: asyncio.Task[None] | None = None
        self._last_state: _frames.TargetState | None = None

    async def start(self) -> None:
        """Listen for daemons and callers."""
        await self.sessions.listen(self.cfg.peers)
        await self.callers.listen(self.cfg.callers)
        self._watching = asyncio.get_running_loop().create_task(
            self.fleet.watch(self._check),
        )

    def note_target(self) -> None:
        """Follow a change of what the register knows."""
        self.owner.refresh()
        self._tell_state()

    def note_daemons(self) -> None:
        """Follow a change of the directory."""
        self.fleet.follow()

    def leave(self) -> None:
        """Tell all that this daemon is about to stop; go on serving."""
        self.is_leaving = True
        self.callers.drain()
        self._tell_state()

    @property
    def in_flight(self) -> int:
        """Return the requests in progress, of callers and of daemons."""
        return self.callers.serving.in_flight + self.owner.in_flight

    def close(self) -> None:
        """End all connections."""
        self.callers.close()
        if self._watching is not None:
            self._watching.cancel()
        self.fleet.close()
        self.sessions.close()

    def describe_target(self) -> _frames.TargetState:
        """Return what others are told of the own target."""
        instance = self.register.current
        report = _frames.pack_report(self.owner.report())
        is_down = self.owner.health.is_down or self.register.is_silent(
            self.clock(),
        )
        if instance is None or is_down:
            return _frames.TargetState(
                service=self.cfg.service,
                instance_id='',
                is_draining=False,
                cold_ms=0,
                report=report,
            )
        cold = instance.heard_at + instance.beat.cold_left - self.clock()
        return _frames.TargetState(
            service=instance.beat.service,
            instance_id=instance.beat.instance_id,
            is_draining=instance.drains_since is not None or self.is_leaving,
            cold_ms=max(round(cold * _MS_PER_S), 0),
            report=report,
        )

    def _check(self, now: float) -> None:
        self.sessions.check(now)
        self._tell_state()

    def _tell_state(self) -> None:
        state = self.describe_target()
        last = self._last_state
        self._last_state = state
        facts = (state.instance_id, state.is_draining)
        if last is None or facts != (last.instance_id, last.is_draining):
            _log.info(
                'target.state',
                instance=state.instance_id,
                is_draining=state.is_draining,
                cold_ms=state.cold_ms,
            )
            self.sessions.tell()

    def _make_hello(self) -> _frames.Hello:
        own = self.directory.own
        return _frames.Hello(
            name=own.name,
            process=self._process,
            address=own.address,
            zone=own.zone,
            version=self.holder.version,
            known=[
                (record.name, record.address, record.zone)
                for record in self.directory.records()
            ],
        )

    def _receive_hello(self, hello: _frames.Hello) -> None:
        now = self.clock()
        is_news = self.directory.note_heard(hello.record(), now)
        for name, address, zone in hello.known:
            told = DaemonRecord(name=name, address=address, zone=zone)
            is_news |= self.directory.note_told(told, now)
        if is_news:
            self.fleet.follow()
        link = self.fleet.links.get(hello.name)
        if link is not None and not link.is_up:
            link.hurry()

    def _make_owner(self) -> Owner:
        return Owner(
            register=self.register,
            pool=TargetPool(address=self.cfg.target, clock=self.clock),
            cfg=OwnerSettings(
                names=self.cfg.names,
                drain_timeout=self.cfg.drain_timeout,
            ),
            clock=self.clock,
        )

    def _make_sessions(self) -> Sessions:
        return Sessions(
            owner=self.owner,
            context=SessionContext(
                make_hello=self._make_hello,
                receive_hello=self._receive_hello,
                describe_target=self.describe_target,
                find_document=self._exchange.find,
                clock=self.clock,
            ),
        )

    def _make_fleet(self) -> Fleet:
        return Fleet(
            directory=self.directory,
            owner=self.owner,
            describe_target=self.describe_target,
            context=LinkContext(
                make_hello=self._make_hello,
                receive_hello=self._receive_hello,
                receive_document=self._exchange.receive,
                note_version=self._exchange.note_version,
                clock=self.clock,
                rng=self._rng,
                own_zone=self.cfg.zone,
                numbers=itertools.count(1),
            ),
        )

    def _make_entry(self) -> Entry:
        return Entry(
            context=EntryContext(
                planner=Planner(
                    context=PlannerContext(
                        holder=self.holder,
                        split=WeightedSplit(rng=self._rng),
                        names=self.cfg.names,
                        caller_service=self.cfg.service,
                        clock=self.clock,
                    ),
                ),
                placement=Placement(rng=self._rng),
                fleet=self.fleet,
                repeats=Repeats(
                    terms=self.cfg.budget,
                    clock=self.clock,
                    count_members=lambda: self.directory.most_seen,
                ),
                clock=self.clock,
                draw=self._rng.random,
            ),
        )
