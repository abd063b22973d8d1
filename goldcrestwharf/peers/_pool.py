"""Keep one stream to each daemon that is called."""

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
    OPEN_ERRORS,
    PeerContext,
    open_conn,
)
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Backoff

_MS_PER_S = 1000

_MAX_PORT = 65_535

#: Errors of opening a stream; the last one is that of odd addresses.
_DIAL_ERRORS = (*OPEN_ERRORS, ValueError)


class Peers(Protocol):
    """Calls to other daemons by their ``host:port``."""

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        """Return the answer to ``body``.

        Raises :class:`NotSentError` if the peer certainly did not handle it
        and :class:`OutcomeUnknownError` if it may have.
        """

    async def send(self, address: str, body: object) -> None:
        """Write a one-way message, with the errors of :meth:`call`."""


@attrs.define(kw_only=True, eq=False)
class _PeerEntry:
    """Stream to one address and the backoff of attempts to open it.

    ``opened`` is set once the attempt under way has ended, and ``failure``
    is the error of the latest one that failed.
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
        """Return whether a stream is open or being opened."""
        return self.opened is not None or self.live_conn() is not None


class PeerPool:
    """Streams to other daemons, opened on demand, one for each address."""

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
        self._entries: dict[str, _PeerEntry] = {}

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        """Return the answer of the daemon at ``address`` to ``body``."""
        entry = self._entries.get(address)
        conn = None if entry is None else entry.live_conn()
        if conn is not None:
            return await conn.call(body, timeout=timeout)
        timers = self._context.timers
        started = timers.now()
        with timers.limit(timeout):
            conn = await self.connect(address)
        if conn is None:
            raise _make_open_error(address, 'it was not opened in time')
        spent = timers.now() - started
        return await conn.call(body, timeout=max(timeout - spent, 0))

    async def send(self, address: str, body: object) -> None:
        """Write a one-way message to the daemon at ``address``."""
        conn = await self.connect(address)
        await conn.send(body)

    async def connect(self, address: str) -> PeerConn:
        """Return the stream to ``address``, opening it if there is none.

        The attempt continues if the calling task is cancelled, so that a
        stream that opens slowly is available to a later call.
        Raises :class:`NotSentError` at once while an earlier failure's
        backoff lasts, and after a failed attempt.
        """
        entry = self._entries.get(address) or self._add_entry(address)
        conn = entry.live_conn()
        if conn is not None:
            return conn
        opened = entry.opened or self._start_opening(address, entry)
        await opened.wait()
        conn = entry.live_conn()
        if conn is None:
            raise _make_open_error(address, entry.failure)
        return conn

    def _add_entry(self, address: str) -> _PeerEntry:
        cfg = self._context.cfg
        if len(self._entries) >= cfg.max_conns:
            self._entries = {
                kept: entry
                for kept, entry in self._entries.items()
                if entry.is_in_use()
            }
        entry = _PeerEntry(backoff=_make_backoff(cfg, self._rng))
        self._entries[address] = entry
        return entry

    def _start_opening(self, address: str, entry: _PeerEntry) -> anyio.Event:
        now = self._context.timers.now()
        _check_backoff(address, entry.backoff.remaining(now))
        entry.opened = anyio.Event()
        self._tg.start_soon(self._open, address, entry, entry.opened)
        return entry.opened

    async def _open(
        self,
        address: str,
        entry: _PeerEntry,
        opened: anyio.Event,
    ) -> None:
        try:
            conn = await _dial(address, self._context)
        except _DIAL_ERRORS as exc:
            entry.backoff.record_failure(self._context.timers.now())
            entry.failure = repr(exc)
        else:
            entry.backoff.record_success()
            entry.conn = conn
            self._tg.start_soon(
                run_until_idle,
                conn,
                self._context.timers,
                self._context.cfg,
            )
        finally:
            entry.opened = None
            opened.set()
        if self._entries.get(address) is not entry and entry.conn is not None:
            await entry.conn.close()


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
            reason=f'{address} is in backoff after a failed connection',
            remedy=f'try it again in {wait:.1f} s',
        )


async def _dial(address: str, context: PeerContext) -> PeerConn:
    host, port = address.rsplit(':', 1)
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError('the port is out of range')
    cfg = context.cfg
    with anyio.fail_after(cfg.connect_timeout_ms / _MS_PER_S):
        stream = await anyio.connect_tcp(host, number)
    try:
        with anyio.fail_after(cfg.handshake_timeout_ms / _MS_PER_S):
            return await open_conn(stream, context, side=CLIENT)
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
