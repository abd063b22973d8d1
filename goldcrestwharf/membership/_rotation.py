"""Choose members of the local zone for probes and gossip."""

import random
from collections.abc import Sequence

from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState


class Rotation:
    """Members of the local zone in rounds of random order."""

    def __init__(self, *, membership: Membership, rng: random.Random) -> None:
        """Choose among the members of ``membership``."""
        self._membership = membership
        self._rng = rng
        self._round: list[str] = []

    def next(self) -> Member | None:
        """Return the next member of this round, each once in a round."""
        table = self._membership.state.table
        while self._round or self._start_round():
            record = table.get(self._round.pop())
            if record is not None and record.state is not MemberState.DEAD:
                return record
        return None

    def pick(self, count: int, *, exclude: str = '') -> Sequence[Member]:
        """Return up to ``count`` random members that are not suspect.

        The VM named ``exclude`` is left out.
        """
        others = [one for one in self._others() if one.vm != exclude]
        usable = [one for one in others if one.state is not MemberState.SUSPECT]
        return self._rng.sample(usable, min(count, len(usable)))

    def pick_dead(self) -> Member | None:
        """Return a random dead member whose record is still stored."""
        records = self._membership.state.table.records(self._zone())
        dead = [one for one in records if one.state is MemberState.DEAD]
        return self._rng.choice(dead) if dead else None

    def _start_round(self) -> bool:
        self._round = [one.vm for one in self._others()]
        self._rng.shuffle(self._round)
        return bool(self._round)

    def _others(self) -> list[Member]:
        local_vm = self._membership.local.vm
        records = self._membership.state.table.records(self._zone())
        live = [one for one in records if one.state is not MemberState.DEAD]
        return [one for one in live if one.vm != local_vm]

    def _zone(self) -> str:
        return self._membership.local.zone
