"""Follow the configuration of another daemon."""

import logging
import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from goldcrestwharf.distribution._adoption import Adoption
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
_ANSWER_S = 5
_IDLE_S = 0.5

_log = logging.getLogger(__name__)


class Parents(Protocol):
    """Name the daemons to follow, the preferred one first."""

    def parents(self) -> Sequence[Member]:
        """Return the candidates; none if this daemon needs no parent."""


@attrs.frozen(kw_only=True)
class Fetcher:
    """Fetch from one daemon at a time and adopt what it sends."""

    holder: SnapshotHolder
    adoption: Adoption
    peers: Peers

    async def fetch(self, member: Member, *, wait_ms: int) -> object:
        """Return the answer of ``member`` after adopting what it brings.

        Raises :class:`PeerError` if no answer came.
        """
        timeout = wait_ms / _MS_PER_S + _ANSWER_S
        answer = await self.peers.call(
            member.address,
            self._make_fetch(wait_ms),
            timeout=timeout,
        )
        match answer:
            case Step():
                self.adoption.take_step(answer)
            case Full():
                self.adoption.take_full(answer)
        return answer

    def _make_fetch(self, wait_ms: int) -> Fetch:
        current = self.holder.snapshot
        if current is None or self.adoption.needs_full:
            return Fetch(wait_ms=wait_ms)
        return Fetch(
            version=str(current.version),
            digest=current.digest,
            wait_ms=wait_ms,
        )


class Follower:
    """Keep a fetch open at a parent, and turn to the next if it fails.

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
        """Follow what ``parents`` names through ``fetcher``."""
        self.parent = ''
        self._parents = parents
        self._fetcher = fetcher
        self._timers = timers
        self._cfg = cfg
        self._turn = 0
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
                chosen = candidates[self._turn % len(candidates)]
                await self._follow(chosen)
            else:
                self.parent = ''
                await self._timers.sleep(_IDLE_S)

    async def _follow(self, member: Member) -> None:
        self.parent = member.vm
        try:
            answer = await self._fetcher.fetch(
                member,
                wait_ms=self._cfg.poll_wait_ms,
            )
        except PeerError as exc:
            await self._turn_away(member, exc)
            return
        await self._settle(answer)

    async def _settle(self, answer: object) -> None:
        match answer:
            case Step() | Full() if not self._fetcher.adoption.is_current(
                answer.version,
            ):
                # The next fetch would bring the same again at once.
                wait = self._backoff.record_failure(self._timers.now())
                await self._timers.sleep(wait)
            case Step() | Full():
                self._backoff.record_success()
            case Busy():
                self._turn += 1
                await self._timers.sleep(answer.retry_after_ms / _MS_PER_S)
            case NoNews(version=''):
                # The parent runs nothing yet; another one may.
                self._turn += 1
                await self._timers.sleep(_IDLE_S)
            case NoNews():
                self._backoff.record_success()
                self._turn = 0

    async def _turn_away(self, member: Member, exc: PeerError) -> None:
        _log.info(
            'distribution.parent_lost vm=%s reason=%s',
            member.vm,
            exc.reason,
        )
        self._turn += 1
        wait = self._backoff.record_failure(self._timers.now())
        await self._timers.sleep(wait)
