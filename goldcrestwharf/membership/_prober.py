"""Probe one member after the other and suspect those that are silent."""

import logging

import anyio
import attrs

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._rotation import Rotation

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Shortens each wait at random, so that the zone's probes spread out.
_JITTER = 0.1

#: How likely a period also asks a dead member whether it came back.
_REVIVAL_CHANCE = 0.1


@attrs.frozen(kw_only=True)
class _Times:
    """Hold the times of a probe in seconds."""

    period: float
    ack_timeout: float

    def rest(self) -> float:
        """Return the time allowed for an answer through others."""
        return max(self.period - self.ack_timeout, self.ack_timeout)

    def whole(self) -> float:
        """Return the time that a probe takes if nobody answers."""
        return self.ack_timeout + self.rest()


class Prober:
    """Probe one member of the own zone in each period.

    A round visits all members in a new random order, so that each one is
    probed by this daemon at least once in two rounds.
    """

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Probe the members that ``rotation`` chooses."""
        self._core = core
        self._rotation = rotation
        self._times = _Times(
            period=core.cfg.period_ms / _MS_PER_S,
            ack_timeout=core.cfg.ack_timeout_ms / _MS_PER_S,
        )

    async def run(self) -> None:
        """Probe until cancelled."""
        core = self._core
        while True:
            factor = core.membership.known.health.factor()
            wait = self._times.period * (1 - _JITTER * core.rng.random())
            planned = core.now() + wait + self._times.whole() * factor
            await core.timers.sleep(wait)
            silent = await self._probe_next()
            self._judge(silent, late=core.now() - planned)
            core.membership.expire(core.now())
            await self._probe_dead()

    async def _probe_next(self) -> Member | None:
        target = self._rotation.next()
        if target is None or await self._reaches(target):
            return None
        return target

    async def _reaches(self, target: Member) -> bool:
        core = self._core
        factor = core.membership.known.health.factor()
        direct = self._times.ack_timeout * factor
        with core.acks.expect() as sequence:
            await core.messenger.ping(sequence, target.vm, target.address)
            if await core.acks.wait(sequence, direct):
                return True
            await self._ask_relays(sequence, target)
            return await core.acks.wait(sequence, self._times.rest() * factor)

    async def _ask_relays(self, sequence: int, target: Member) -> None:
        relays = self._rotation.pick(
            self._core.cfg.relays,
            besides=target.vm,
        )
        async with anyio.create_task_group() as tg:
            for relay in relays:
                tg.start_soon(
                    self._core.messenger.request,
                    sequence,
                    relay,
                    target,
                )

    def _judge(self, silent: Member | None, *, late: float) -> None:
        """Act on a probe, unless this process itself was stopped meanwhile.

        After a pause nobody could have been heard, so what is silent says
        nothing and all suspects get the time of the pause in addition.
        """
        membership = self._core.membership
        if late > self._times.period:
            _log.warning('member.paused late_ms=%d', late * _MS_PER_S)
            membership.known.health.note_pause()
            membership.known.suspicions.extend(late + self._times.period)
        elif silent is None:
            membership.known.health.note_good()
        else:
            membership.known.health.note_bad()
            membership.suspect(silent.vm, self._core.now())

    async def _probe_dead(self) -> None:
        if self._core.rng.random() >= _REVIVAL_CHANCE:
            return
        dead = self._rotation.pick_dead()
        if dead is not None:
            sequence = self._core.acks.number()
            await self._core.messenger.ping(sequence, dead.vm, dead.address)
