"""Choose members of the own zone for probes and gossip."""

import random
from collections.abc import Sequence

from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState


class Rotation:
    """Go through the members of the own zone in random order."""

    def __init__(self, *, membership: Membership, rng: random.Random) -> None:
        """Choose among the members that ``membership`` knows."""
        self._membership = membership
        self._rng = rng
        self._round: list[str] = []

    def next(self) -> Member | None:
        """Return the next member of this round, each once in a round."""
        table = self._membership.known.table
        while self._round or self._start_round():
            record = table.get(self._round.pop())
            if record is not None and record.state is not MemberState.DEAD:
                return record
        return None

    def pick(self, count: int, *, besides: str = '') -> Sequence[Member]:
        """Return up to ``count`` random members that should answer.

        The VM named ``besides`` is left out.
        """
        others = [one for one in self._others() if one.vm != besides]
        able = [one for one in others if one.state is not MemberState.SUSPECT]
        return self._rng.sample(able, min(count, len(able)))

    def pick_dead(self) -> Member | None:
        """Return a random dead member that is still remembered."""
        records = self._membership.known.table.records(self._zone())
        dead = [one for one in records if one.state is MemberState.DEAD]
        return self._rng.choice(dead) if dead else None

    def _start_round(self) -> bool:
        self._round = [one.vm for one in self._others()]
        self._rng.shuffle(self._round)
        return bool(self._round)

    def _others(self) -> list[Member]:
        own = self._membership.own.vm
        records = self._membership.known.table.records(self._zone())
        live = [one for one in records if one.state is not MemberState.DEAD]
        return [one for one in live if one.vm != own]

    def _zone(self) -> str:
        return self._membership.own.zone
