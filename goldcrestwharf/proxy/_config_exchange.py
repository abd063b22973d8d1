"""Exchange of configurations between daemons.

A few daemons of each availability zone read from the store and announce new
versions to the others of their zone, which fetch the change at once. A daemon
that learns of a higher version and doesn't get it that way within a time limit
fetches it from any daemon that has it, for example if its zone lost the store.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import (
    CorruptUpdateError,
    PackedUpdate,
    PolicyHistory,
    PolicyHolder,
    UnknownBaseError,
)
from goldcrestwharf.proxy._document_messages import Document, Fetch


class Peer(Protocol):
    """Other daemon, as a source of configurations."""

    @property
    def name(self) -> str:
        """Return the name of the daemon."""

    @property
    def is_local_zone(self) -> bool:
        """Return whether the daemon is in the local availability zone."""

    def send(self, message: object) -> None:
        """Send a message to the daemon."""


#: Accepts an encoded configuration and the name of its source.
OfferDocument = Callable[[bytes, str], None]

_log = EventLog(__name__)

#: Seconds in which the store or a daemon of the local zone normally delivers a
#: new version; longer than readers wait to coalesce changes.
_NORMAL_DELAY_S = 1.2

#: The same for a daemon without a configuration. The store answers within
#: milliseconds, and a large configuration takes half a second.
_INITIAL_DELAY_S = 0.3

#: Timeout of a fetch from a daemon of the local zone, in seconds.
_FETCH_TIMEOUT_S = 0.5


@attrs.frozen(kw_only=True)
class _Plan:
    """Scheduled or running fetch of a version."""

    version: int
    due: float
    timer: asyncio.TimerHandle


@attrs.define(kw_only=True, eq=False)
class ConfigExchange:
    """Fetching of configurations from other daemons.

    ``reads_store`` returns whether this daemon reads from the store itself.
    """

    holder: PolicyHolder
    offer: OfferDocument
    reads_store: Callable[[], bool]
    _history: PolicyHistory = attrs.field(factory=PolicyHistory, init=False)
    _plan: _Plan | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Record each configuration that comes into force."""
        if self.holder.current is not None:
            self._history.add(self.holder.current)
        self.holder.watch(self._history.add)

    def find_document(self, version: int) -> Document | None:
        """Return the current configuration if it is above ``version``."""
        update = self._history.pack(version)
        if update is None:
            return None
        return Document(
            version=update.version,
            base=update.base,
            packed=update.packed,
        )

    def receive(self, peer: Peer, document: Document) -> None:
        """Unpack a configuration from another daemon and offer it."""
        if document.version <= self.holder.version:
            return
        update = PackedUpdate(
            version=document.version,
            base=document.base,
            packed=document.packed,
        )
        try:
            written = self._history.unpack(update)
        except UnknownBaseError:
            peer.send(Fetch(version=0))
        except CorruptUpdateError as exc:
            _log.warning('config.refused', source=peer.name, cause=exc.reason)
        else:
            self.offer(written, 'peer')

    def handle_version(self, peer: Peer, version: int) -> None:
        """Schedule a fetch of a version that is active on another daemon."""
        if version <= self.holder.version:
            return
        loop = asyncio.get_running_loop()
        delay = self._find_delay(peer)
        due = loop.time() + delay
        plan = self._plan
        if plan is not None:
            if plan.due <= due and plan.version >= version:
                return
            plan.timer.cancel()
        _log.note(
            'config.announced',
            peer=peer.name,
            version=version,
            in_force=self.holder.version,
            fetch_in_s=delay,
            replaced=0 if plan is None else plan.version,
        )
        self._plan = _Plan(
            version=version,
            due=due,
            timer=loop.call_later(delay, self._fetch, peer, version),
        )

    def _find_delay(self, peer: Peer) -> float:
        if peer.is_local_zone and not self.reads_store():
            return 0
        return _NORMAL_DELAY_S if self.holder.version else _INITIAL_DELAY_S

    def _fetch(self, peer: Peer, version: int) -> None:
        if version <= self.holder.version:
            self._plan = None
            return
        _log.note('config.fetched_from_peer', peer=peer.name, version=version)
        peer.send(Fetch(version=self.holder.version))
        # Allows another fetch after the timeout, answered or not.
        loop = asyncio.get_running_loop()
        self._plan = _Plan(
            version=version,
            due=loop.time(),
            timer=loop.call_later(_FETCH_TIMEOUT_S, self._clear_fetch),
        )

    def _clear_fetch(self) -> None:
        self._plan = None
