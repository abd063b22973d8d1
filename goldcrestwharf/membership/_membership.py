"""Hold all that a daemon knows of the mesh, with the rules for changes."""

import logging
from collections.abc import Sequence

import attrs

from goldcrestwharf.membership._checks import is_sound
from goldcrestwharf.membership._gossip import Accusation
from goldcrestwharf.membership._knowledge import (
    Knowledge,
    make_knowledge,
)
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import merge
from goldcrestwharf.membership._settings import MembershipSettings

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class Membership:
    """Merge what is heard and decide who is suspect, dead or cut off.

    ``own`` is this daemon's record, ``running`` the configuration version
    that it runs (empty if none) and ``is_cut_off`` tells whether it
    presumes to be cut off from its zone, as of the latest :meth:`expire`.
    ``heard_at`` is when the latest datagram of any member came.
    Times are in seconds, of the timer service. Only members of the own zone
    are ever suspected here; those of other zones are judged by their peers.
    """

    def __init__(self, *, own: Member, cfg: MembershipSettings) -> None:
        """Know ``own``, this daemon's record, and nobody else."""
        self.own = own
        self.known = make_knowledge(own, cfg)
        self.running = ''
        self.is_cut_off = False
        self.heard_at = float('-inf')
        self._cfg = cfg
        self.known.table.put(own)

    def declare(self, own: Member) -> None:
        """Replace this daemon's own record and spread it."""
        self.own = own
        self.known.table.put(own)
        self.known.gossip.put_record(own)

    def absorb(self, heard: Member, now: float) -> bool:
        """Merge a record that a peer sent; tell whether it was news."""
        if not is_sound(heard):
            return False
        if heard.vm == self.own.vm:
            return self._hear_of_self(heard)
        record = self.known.table.get(heard.vm)
        merged = heard if record is None else merge(record, heard)
        is_full = len(self.known.table) >= self._cfg.max_members
        if merged == record or (record is None and is_full):
            return False
        _store(self.known, merged, now)
        return True

    def hear_accusation(self, accusation: Accusation) -> None:
        """Refute a suspicion of this daemon that a peer holds.

        The refutation travels first, so that the peer gets it at once even
        if this daemon has refuted the same suspicion before.
        """
        if accusation.vm != self.own.vm:
            return
        accused = attrs.evolve(
            self.own,
            incarnation=accusation.incarnation,
            state=accusation.state,
        )
        self._hear_of_self(accused)
        self.known.gossip.put_record(self.own, is_first=True)

    def suspect(self, vm: str, now: float, *, is_spread: bool = True) -> None:
        """Record that ``vm`` answered neither directly nor through others.

        The suspicion is kept from the others unless ``is_spread`` is true.
        """
        record = self.known.table.get(vm)
        if record is None or record.state is MemberState.DEAD:
            return
        if record.state is MemberState.ALIVE:
            _log.info('member.suspected vm=%s', vm)
            suspect = attrs.evolve(record, state=MemberState.SUSPECT)
            self.known.table.put(suspect)
            if is_spread:
                self.known.gossip.put_record(suspect)
        self.known.suspicions.start(vm, now + self.known.patience())

    def expire(self, now: float) -> Sequence[str]:
        """Declare the suspects dead whose time is up, unless cut off.

        Returns the VMs that are to be pinged once more before they are.
        """
        self.is_cut_off = self.known.looks_cut_off(now)
        due = self.known.suspicions.due(now, grace=self.known.pace.period)
        for vm in due.dead:
            record = self.known.table.get(vm)
            if self.is_cut_off:
                self.known.suspicions.clear(vm)
                self.known.suspicions.start(vm, now + self.known.patience())
            elif record is not None:
                _log.warning('member.dead vm=%s zone=%s', vm, record.zone)
                dead = attrs.evolve(record, state=MemberState.DEAD)
                _store(self.known, dead, now)
        self.known.table.reap(now - self._cfg.tombstone_ms / _MS_PER_S)
        return due.warned

    def _hear_of_self(self, heard: Member) -> bool:
        if merge(self.own, heard) == self.own:
            return False
        if heard.incarnation == self.own.incarnation:
            self.known.health.note_bad()
        _log.info(
            'member.refuted state=%s incarnation=%d',
            heard.state,
            heard.incarnation,
        )
        incarnation = heard.incarnation + 1
        self.declare(attrs.evolve(self.own, incarnation=incarnation))
        return True


def _store(known: Knowledge, record: Member, now: float) -> None:
    previous = known.table.get(record.vm)
    known.table.put(record, now)
    known.gossip.put_record(record)
    if previous is None or previous.incarnation < record.incarnation:
        known.suspicions.clear(record.vm)
    match record.state:
        case MemberState.ALIVE:
            known.suspicions.clear(record.vm)
        case MemberState.DEAD:
            known.suspicions.note_death(record.vm, now)
        case MemberState.SUSPECT if record.zone == known.zone:
            known.suspicions.start(record.vm, now + known.patience())
