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

from goldcrestwharf.discovery import Announcement, FetchSchedule
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import (
    CorruptUpdateError,
    PackedUpdate,
    PolicyHistory,
    PolicyHolder,
    PolicySnapshot,
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


class StoreAccess(Protocol):
    """What is known of the daemons of the zone that read from the store."""

    @property
    def has_contact(self) -> bool:
        """Return whether this daemon reads from the store itself."""

    @property
    def is_waiting(self) -> bool:
        """Return whether a read of this daemon waits for the next record."""

    @property
    def is_zone_without_reader(self) -> bool:
        """Return whether no daemon of the zone reads from the store."""


#: Accepts an encoded configuration and the name of its source.
OfferDocument = Callable[[bytes, str], None]

_log = EventLog(__name__)

#: Seconds in which the store or a daemon of the local zone normally delivers a
#: new version; longer than readers wait to coalesce changes.
_NORMAL_DELAY_S = 1.2

#: The same while a read of this daemon waits at the store, which answers all
#: waiting reads at once: its connection is probably silent.
_OVERDUE_DELAY_S = 0.3

#: The same for a daemon without a configuration. The store answers within
#: milliseconds, and a large configuration takes half a second.
_INITIAL_DELAY_S = 0.3

#: Seconds between the announcement and the adoption of a version from which on
#: the adoption is logged as late: longer than readers wait to coalesce changes.
_LATE_ADOPTION_S = 1.0


@attrs.define(kw_only=True, eq=False)
class ConfigExchange:
    """Fetching of configurations from other daemons.

    ``store_access`` says how versions reach this daemon from the store.
    """

    holder: PolicyHolder
    offer: OfferDocument
    store_access: StoreAccess
    has_low_bandwidth_link: bool = False
    _history: PolicyHistory = attrs.field(factory=PolicyHistory, init=False)
    _schedule: FetchSchedule = attrs.field(init=False)
    _peers: dict[str, Peer] = attrs.field(factory=dict, init=False)
    _timer: asyncio.TimerHandle | None = attrs.field(default=None, init=False)
    _behind_since: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Record each configuration that comes into force."""
        self._schedule = FetchSchedule(
            is_low_bandwidth=self.has_low_bandwidth_link
        )
        if self.holder.current is not None:
            self._history.add(self.holder.current)
            self._schedule.adopt(self.holder.version)
        self.holder.watch(self._handle_adoption)

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
            if document.base:
                # The base may be another document under the same version.
                peer.send(Fetch(version=0))
        else:
            self.offer(written, 'peer')
            if document.version > self.holder.version:
                self._schedule.reject(peer.name, document.version)
                self._set_timer()

    def handle_version(self, peer: Peer, version: int) -> None:
        """Schedule a fetch of a version that is active on another daemon."""
        if version <= self.holder.version:
            return
        delay = self._find_delay(peer)
        now = asyncio.get_running_loop().time()
        if self._behind_since is None:
            self._behind_since = now
        announcement = Announcement(
            daemon=peer.name,
            version=version,
            due=now + delay,
            is_local_zone=peer.is_local_zone,
        )
        self._peers[peer.name] = peer
        if self._schedule.announce(announcement, now):
            _log.note(
                'config.announced',
                peer=peer.name,
                version=version,
                in_force=self.holder.version,
                fetch_in_s=delay,
            )
        self._set_timer()

    def handle_lost(self, peer: str) -> None:
        """Fetch from others what a daemon that is out of reach has."""
        self._schedule.forget(peer)
        self._set_timer()

    def _find_delay(self, peer: Peer) -> float:
        access = self.store_access
        if peer.is_local_zone and not access.has_contact:
            return 0
        if not self.holder.version:
            return _INITIAL_DELAY_S
        if access.is_zone_without_reader:
            return 0
        is_overdue = peer.is_local_zone and access.is_waiting
        return _OVERDUE_DELAY_S if is_overdue else _NORMAL_DELAY_S

    def _handle_adoption(self, snapshot: PolicySnapshot) -> None:
        self._note_late_adoption(snapshot.version)
        self._history.add(snapshot)
        self._schedule.adopt(snapshot.version)
        self._set_timer()

    def _note_late_adoption(self, version: int) -> None:
        since = self._behind_since
        self._behind_since = None
        if since is None:
            return
        behind = asyncio.get_running_loop().time() - since
        if behind >= _LATE_ADOPTION_S:
            _log.warning(
                'config.adopted_late',
                version=version,
                behind_s=round(behind, 3),
                reads=self.store_access.has_contact,
            )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._schedule.next_due
        if due is None:
            self._peers.clear()
        else:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._fetch)

    def _fetch(self) -> None:
        due = self._schedule.next_due
        if due is None:
            return
        # A timer may fire early by the resolution of its clock.
        now = max(asyncio.get_running_loop().time(), due)
        source = self._schedule.take_source(now)
        if source is not None:
            _log.note(
                'config.fetched_from_peer',
                peer=source.daemon,
                version=source.version,
            )
            fetch = Fetch(version=self.holder.version)
            self._peers[source.daemon].send(fetch)
        self._set_timer()
