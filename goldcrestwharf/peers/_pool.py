"""Reach other daemons over one kept stream each."""

import random
from typing import Protocol

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._handshake import CLIENT
from goldcrestwharf.peers._listener import (
    OPEN_FAILURES,
    PeerContext,
    open_conn,
)
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
    """Keep the stream to one address and the backoff towards it."""

    backoff: Backoff
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    conn: PeerConn | None = None

    def live_conn(self) -> PeerConn | None:
        """Return the stream unless it has ended."""
        conn = self.conn
        if conn is None or conn.closed.is_set():
            return None
        return conn


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
        started = self._context.timers.now()
        conn = await self.connect(address)
        spent = self._context.timers.now() - started
        return await conn.call(body, timeout=max(timeout - spent, 0))

    async def send(self, address: str, body: object) -> None:
        """Write a one-way message to the daemon at ``address``."""
        conn = await self.connect(address)
        await conn.send(body)

    async def connect(self, address: str) -> PeerConn:
        """Return the stream to ``address``, opening it if there is none.

        Raises :class:`NotSentError` at once while an earlier failure's
        backoff lasts, and after a failed attempt.
        """
        slot = self._slots.get(address) or self._add_slot(address)
        conn = slot.live_conn()
        if conn is not None:
            return conn
        async with slot.lock:
            return slot.live_conn() or await self._open(address, slot)

    async def disconnect(self, address: str) -> None:
        """Close the stream to ``address`` and forget its failures."""
        slot = self._slots.pop(address, None)
        if slot is not None and slot.conn is not None:
            await slot.conn.close()

    def _add_slot(self, address: str) -> _Slot:
        cfg = self._context.cfg
        backoff = Backoff(
            base=cfg.backoff_base_ms / _MS_PER_S,
            cap=cfg.backoff_cap_ms / _MS_PER_S,
            rng=self._rng,
        )
        self._slots[address] = _Slot(backoff=backoff)
        return self._slots[address]

    async def _open(self, address: str, slot: _Slot) -> PeerConn:
        now = self._context.timers.now()
        _check_backoff(address, slot.backoff.remaining(now))
        try:
            conn = await _dial(address, self._context)
        except OPEN_FAILURES as exc:
            slot.backoff.note_failure(self._context.timers.now())
            raise NotSentError(
                reason=f'no stream to {address}: {exc!r}',
                remedy='check that the daemon there runs and is reachable',
            ) from exc
        slot.conn = conn
        slot.backoff.note_success()
        self._tg.start_soon(conn.run)
        return conn


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
