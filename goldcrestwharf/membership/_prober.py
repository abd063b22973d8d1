"""Probe one member after the other and suspect those that are silent."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._judge import Judge, make_times
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._rotation import Rotation

#: Shortens each wait at random, so that the zone's probes spread out.
_JITTER = 0.1

#: How likely a period also asks a dead member whether it came back.
_REVIVAL_CHANCE = 0.1


class Prober:
    """Probe one member of the own zone in each period.

    A round visits all members in a new random order, so that each one is
    probed by this daemon at least once in two rounds.
    """

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Probe the members that ``rotation`` chooses."""
        self._core = core
        self._rotation = rotation
        self._times = make_times(core.cfg)
        self._judge = Judge(core=core, times=self._times)

    async def run(self) -> None:
        """Probe until cancelled."""
        core = self._core
        while True:
            wait = self._times.period * (1 - _JITTER * core.rng.random())
            planned = core.now() + wait + self._judge.longest_probe()
            await core.timers.sleep(wait)
            silent = await self._probe_next()
            self._judge.decide(silent, late=core.now() - planned)
            for vm in core.membership.expire(core.now()):
                await self._ping(vm)
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

    async def _probe_dead(self) -> None:
        if self._core.rng.random() >= _REVIVAL_CHANCE:
            return
        dead = self._rotation.pick_dead()
        if dead is not None:
            await self._ping(dead.vm)

    async def _ping(self, vm: str) -> None:
        """Ping without waiting; the ping tells ``vm`` its own state."""
        core = self._core
        record = core.membership.known.table.get(vm)
        if record is not None:
            sequence = core.acks.number()
            await core.messenger.ping(sequence, vm, record.address)
