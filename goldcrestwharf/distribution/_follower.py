"""Follow the configuration of another daemon."""

import logging
import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from goldcrestwharf.distribution._adopter import Adopter
from goldcrestwharf.distribution._messages import (
    Busy,
    Fetch,
    Full,
    NoNews,
    Step,
)
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership import Member
from goldcrestwharf.peers import Peers
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.timers import Backoff, Timers

_MS_PER_S = 1000
_ANSWER_TIMEOUT_S = 5
_IDLE_INTERVAL_S = 0.5

_log = logging.getLogger(__name__)


class Parents(Protocol):
    """The source of the daemons to follow."""

    def parents(self) -> Sequence[Member]:
        """Return the candidates, the preferred one first.

        Empty if this daemon needs no parent.
        """


@attrs.frozen(kw_only=True)
class Fetcher:
    """A client that fetches from other daemons and applies the answers."""

    holder: SnapshotHolder
    adopter: Adopter
    peers: Peers

    async def fetch(self, member: Member, *, wait_ms: int) -> object:
        """Return the answer of ``member`` after applying it.

        Raises :class:`PeerError` if there was no answer.
        """
        timeout = wait_ms / _MS_PER_S + _ANSWER_TIMEOUT_S
        answer = await self.peers.call(
            member.address,
            self._make_fetch(wait_ms),
            timeout=timeout,
        )
        match answer:
            case Step():
                self.adopter.apply_step(answer)
            case Full():
                self.adopter.apply_full(answer)
        return answer

    def _make_fetch(self, wait_ms: int) -> Fetch:
        current = self.holder.snapshot
        if current is None or self.adopter.needs_full:
            return Fetch(wait_ms=wait_ms)
        return Fetch(
            version=str(current.version),
            digest=current.digest,
            wait_ms=wait_ms,
        )


class Follower:
    """The task that long-polls a parent and switches parents on failure.

    ``parent`` is the VM that is followed now, empty if there is none.
    """

    def __init__(
        self,
        *,
        parents: Parents,
        fetcher: Fetcher,
        timers: Timers,
        cfg: DistributionSettings,
        rng: random.Random,
    ) -> None:
        """Follow the daemons of ``parents`` through ``fetcher``."""
        self.parent = ''
        self._parents = parents
        self._fetcher = fetcher
        self._timers = timers
        self._cfg = cfg
        self._parent_index = 0
        self._backoff = Backoff(
            base=cfg.retry_base_ms / _MS_PER_S,
            cap=cfg.retry_cap_ms / _MS_PER_S,
            rng=rng,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            candidates = self._parents.parents()
            if candidates:
                chosen = candidates[self._parent_index % len(candidates)]
                await self._follow(chosen)
            else:
                self.parent = ''
                await self._timers.sleep(_IDLE_INTERVAL_S)

    async def _follow(self, member: Member) -> None:
        self.parent = member.vm
        try:
            answer = await self._fetcher.fetch(
                member,
                wait_ms=self._cfg.poll_wait_ms,
            )
        except PeerError as exc:
            await self._switch_parent(member, exc)
            return
        await self._handle_answer(answer)

    async def _handle_answer(self, answer: object) -> None:
        match answer:
            case Step() | Full() if not self._fetcher.adopter.is_current(
                answer.version,
            ):
                # The answer was not activated, and the next fetch would
                # return the same one at once.
                wait = self._backoff.note_failure(self._timers.now())
                await self._timers.sleep(wait)
            case Step() | Full():
                self._backoff.note_success()
            case Busy():
                self._parent_index += 1
                await self._timers.sleep(answer.retry_after_ms / _MS_PER_S)
            case NoNews(version=''):
                # The parent has no configuration yet; another one may.
                self._parent_index += 1
                await self._timers.sleep(_IDLE_INTERVAL_S)
            case NoNews():
                self._backoff.note_success()
                self._parent_index = 0

    async def _switch_parent(self, member: Member, exc: PeerError) -> None:
        _log.info(
            'distribution.parent_lost vm=%s reason=%s',
            member.vm,
            exc.reason,
        )
        self._parent_index += 1
        wait = self._backoff.note_failure(self._timers.now())
        await self._timers.sleep(wait)
