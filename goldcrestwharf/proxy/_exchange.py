"""Pass configurations on between daemons.

A few daemons of each availability zone read from the store and tell the
others of its zone, which fetch the change at once. Whoever hears of a higher
version and doesn't get it that way within a while fetches it from any daemon
that has it, as when a zone has lost the store.
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
    """Name another daemon that configurations are fetched from."""

    @property
    def name(self) -> str:
        """Return its name."""

    @property
    def is_local_zone(self) -> bool:
        """Tell whether bytes to it stay in the availability zone."""

    def send(self, message: object) -> None:
        """Send it a message."""


#: Takes the bytes of a configuration and a word for where it is from.
OfferDocument = Callable[[bytes, str], None]

_log = EventLog(__name__)

#: Seconds in which the store or a daemon of the own zone brings a version,
#: above the time for which readers gather changes.
_USUAL_LAG_S = 1.2

#: The same for a daemon that has no configuration yet; the store answers in
#: some milliseconds, and a large configuration takes half a second.
_FIRST_LAG_S = 0.3

#: Seconds in which a daemon of the own zone answers a question for a version.
_ANSWER_S = 0.5


@attrs.frozen(kw_only=True)
class _Plan:
    """Hold which version is asked for, when and of whom."""

    version: int
    due: float
    timer: asyncio.TimerHandle


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """Fetch from other daemons what the store doesn't bring.

    ``reads_store`` tells whether this daemon reads from the store itself.
    """

    holder: PolicyHolder
    offer: OfferDocument
    reads_store: Callable[[], bool]
    _history: PolicyHistory = attrs.field(factory=PolicyHistory, init=False)
    _plan: _Plan | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow what comes into force."""
        if self.holder.current is not None:
            self._history.add(self.holder.current)
        self.holder.watch(self._history.add)

    def find(self, version: int) -> Document | None:
        """Return the configuration in force if it is above ``version``."""
        update = self._history.pack(version)
        if update is None:
            return None
        return Document(
            version=update.version,
            base=update.base,
            packed=update.packed,
        )

    def receive(self, peer: Peer, document: Document) -> None:
        """Take in what another daemon sent."""
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
            _log.warn('config.refused', source=peer.name, cause=exc.reason)
        else:
            self.offer(written, 'peer')

    def note_version(self, peer: Peer, version: int) -> None:
        """Hear of a version that another daemon has in force."""
        if version <= self.holder.version:
            return
        loop = asyncio.get_running_loop()
        lag = self._find_lag(peer)
        due = loop.time() + lag
        plan = self._plan
        if plan is not None:
            if plan.due <= due and plan.version >= version:
                return
            plan.timer.cancel()
        self._plan = _Plan(
            version=version,
            due=due,
            timer=loop.call_later(lag, self._fetch, peer, version),
        )

    def _find_lag(self, peer: Peer) -> float:
        if peer.is_local_zone and not self.reads_store():
            return 0
        return _USUAL_LAG_S if self.holder.version else _FIRST_LAG_S

    def _fetch(self, peer: Peer, version: int) -> None:
        if version <= self.holder.version:
            self._plan = None
            return
        _log.note('config.fetched_from_peer', peer=peer.name, version=version)
        peer.send(Fetch(version=self.holder.version))
        # Whether or not the answer comes, a later hint may ask again.
        loop = asyncio.get_running_loop()
        self._plan = _Plan(
            version=version,
            due=loop.time(),
            timer=loop.call_later(_ANSWER_S, self._forget_plan),
        )

    def _forget_plan(self) -> None:
        self._plan = None
