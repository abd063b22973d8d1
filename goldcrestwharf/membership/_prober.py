"""Probe one member after the other and suspect those without an ack."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._probe_evaluator import (
    ProbeEvaluator,
    make_probe_times,
)
from goldcrestwharf.membership._rotation import Rotation

#: Greatest part by which a wait is shortened at random, so that the zone's
#: probes spread out.
_JITTER_FRACTION = 0.1

#: Probability that a period also pings a dead member, which may be back.
_DEAD_PROBE_PROBABILITY = 0.1


class Prober:
    """Periodic task that probes one member of the local zone in each period.

    A round visits all members in a new random order, so that each one is
    probed by this daemon at least once in two rounds.
    """

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Probe the members that ``rotation`` chooses."""
        self._core = core
        self._rotation = rotation
        self._times = make_probe_times(core.cfg)
        self._evaluator = ProbeEvaluator(core=core, times=self._times)

    async def run(self) -> None:
        """Probe until cancelled."""
        core = self._core
        while True:
            wait = self._times.period * (
                1 - _JITTER_FRACTION * core.rng.random()
            )
            latest_end = core.now() + wait + self._evaluator.longest_probe()
            await core.timers.sleep(wait)
            silent = await self._probe_next()
            self._evaluator.evaluate(silent, late=core.now() - latest_end)
            for vm in core.membership.expire(core.now()):
                await self._ping(vm)
            await self._probe_dead()

    async def _probe_next(self) -> Member | None:
        target = self._rotation.next()
        if target is None or await self._is_reachable(target):
            return None
        return target

    async def _is_reachable(self, target: Member) -> bool:
        core = self._core
        factor = core.membership.state.health.factor()
        direct = self._times.ack_timeout * factor
        with core.acks.expect() as sequence:
            await core.messenger.ping(sequence, target.vm, target.address)
            if await core.acks.wait(sequence, direct):
                return True
            await self._ask_relays(sequence, target)
            return await core.acks.wait(
                sequence, self._times.indirect_timeout() * factor
            )

    async def _ask_relays(self, sequence: int, target: Member) -> None:
        relays = self._rotation.pick(
            self._core.cfg.relays,
            exclude=target.vm,
        )
        async with anyio.create_task_group() as tg:
            for relay in relays:
                tg.start_soon(
                    self._core.messenger.request_ping,
                    sequence,
                    relay,
                    target,
                )

    async def _probe_dead(self) -> None:
        if self._core.rng.random() >= _DEAD_PROBE_PROBABILITY:
            return
        dead = self._rotation.pick_dead()
        if dead is not None:
            await self._ping(dead.vm)

    async def _ping(self, vm: str) -> None:
        """Ping without waiting; the ping carries the state held of ``vm``."""
        core = self._core
        record = core.membership.state.table.get(vm)
        if record is not None:
            sequence = core.acks.next_sequence()
            await core.messenger.ping(sequence, vm, record.address)
