"""Reach other daemons over one kept stream each."""

import random
from typing import Protocol

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._handshake import CLIENT
from goldcrestwharf.peers._idle import run_until_idle
from goldcrestwharf.peers._listener import (
    OPEN_FAILURES,
    PeerContext,
    open_conn,
)
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Backoff

_MS_PER_S = 1000


class Peers(Protocol):
    """Reach other daemons by their ``host:port``."""

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        """Return the answer to ``body``.

        Raises :class:`NotSentError` if the peer certainly did not act and
        :class:`OutcomeUnknownError` if it may have.
        """

    async def send(self, address: str, body: object) -> None:
        """Write a one-way message, with the errors of :meth:`call`."""


@attrs.define(kw_only=True, eq=False)
class _Slot:
    """Keep the stream to one address and the backoff towards it.

    ``opened`` is set once the attempt under way has ended, and ``failure``
    tells how the latest one failed.
    """

    backoff: Backoff
    conn: PeerConn | None = None
    opened: anyio.Event | None = None
    failure: str = ''

    def live_conn(self) -> PeerConn | None:
        """Return the stream unless it has ended."""
        conn = self.conn
        if conn is None or conn.closed.is_set():
            return None
        return conn

    def is_in_use(self) -> bool:
        """Tell whether a stream is open or being opened."""
        return self.opened is not None or self.live_conn() is not None


class PeerPool:
    """Open streams on demand and keep one for each address."""

    def __init__(
        self,
        *,
        context: PeerContext,
        tg: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Run the streams' tasks in ``tg``."""
        self._context = context
        self._tg = tg
        self._rng = rng
        self._slots: dict[str, _Slot] = {}

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        """Return the answer of the daemon at ``address`` to ``body``."""
        slot = self._slots.get(address)
        conn = None if slot is None else slot.live_conn()
        if conn is not None:
            return await conn.call(body, timeout=timeout)
        timers = self._context.timers
        started = timers.now()
        with timers.limit(timeout):
            conn = await self.connect(address)
        if conn is None:
            raise _make_open_error(address, 'the time for it ran out')
        spent = timers.now() - started
        return await conn.call(body, timeout=max(timeout - spent, 0))

    async def send(self, address: str, body: object) -> None:
        """Write a one-way message to the daemon at ``address``."""
        conn = await self.connect(address)
        await conn.send(body)

    async def connect(self, address: str) -> PeerConn:
        """Return the stream to ``address``, opening it if there is none.

        The attempt goes on if the calling task gives up, so that a short
        deadline doesn't keep a slow stream from ever being opened.
        Raises :class:`NotSentError` at once while an earlier failure's
        backoff lasts, and after a failed attempt.
        """
        slot = self._slots.get(address) or self._add_slot(address)
        conn = slot.live_conn()
        if conn is not None:
            return conn
        opened = slot.opened or self._start_opening(address, slot)
        await opened.wait()
        conn = slot.live_conn()
        if conn is None:
            raise _make_open_error(address, slot.failure)
        return conn

    def _add_slot(self, address: str) -> _Slot:
        cfg = self._context.cfg
        if len(self._slots) >= cfg.max_conns:
            self._slots = {
                kept: slot
                for kept, slot in self._slots.items()
                if slot.is_in_use()
            }
        slot = _Slot(backoff=_make_backoff(cfg, self._rng))
        self._slots[address] = slot
        return slot

    def _start_opening(self, address: str, slot: _Slot) -> anyio.Event:
        now = self._context.timers.now()
        _check_backoff(address, slot.backoff.remaining(now))
        slot.opened = anyio.Event()
        self._tg.start_soon(self._open, address, slot, slot.opened)
        return slot.opened

    async def _open(
        self,
        address: str,
        slot: _Slot,
        opened: anyio.Event,
    ) -> None:
        try:
            conn = await _dial(address, self._context)
        except OPEN_FAILURES as exc:
            slot.backoff.record_failure(self._context.timers.now())
            slot.failure = repr(exc)
        else:
            slot.backoff.record_success()
            slot.conn = conn
            self._tg.start_soon(
                run_until_idle,
                conn,
                self._context.timers,
                self._context.cfg,
            )
        finally:
            slot.opened = None
            opened.set()
        if self._slots.get(address) is not slot and slot.conn is not None:
            await slot.conn.close()


def _make_backoff(cfg: PeerSettings, rng: random.Random) -> Backoff:
    return Backoff(
        base=cfg.backoff_base_ms / _MS_PER_S,
        cap=cfg.backoff_cap_ms / _MS_PER_S,
        rng=rng,
    )


def _make_open_error(address: str, failure: str) -> NotSentError:
    return NotSentError(
        reason=f'no stream to {address}: {failure}',
        remedy='check that the daemon there runs and is reachable',
    )


def _check_backoff(address: str, wait: float) -> None:
    if wait > 0:
        raise NotSentError(
            reason=f'{address} could not be reached a moment ago',
            remedy=f'try it again in {wait:.1f} s',
        )


async def _dial(address: str, context: PeerContext) -> PeerConn:
    host, port = address.rsplit(':', 1)
    cfg = context.cfg
    with anyio.fail_after(cfg.connect_timeout_ms / _MS_PER_S):
        stream = await anyio.connect_tcp(host, int(port))
    try:
        with anyio.fail_after(cfg.handshake_timeout_ms / _MS_PER_S):
            return await open_conn(stream, context, side=CLIENT)
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
