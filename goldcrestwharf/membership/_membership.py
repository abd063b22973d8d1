"""Apply the rules for changes of the membership."""

import logging
from collections.abc import Sequence

import attrs

from goldcrestwharf.membership._checks import is_valid
from goldcrestwharf.membership._cluster_state import (
    ClusterState,
    make_cluster_state,
)
from goldcrestwharf.membership._gossip import SuspicionNotice
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import merge
from goldcrestwharf.membership._settings import MembershipSettings

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class Membership:
    """Members known to this daemon and the rules that change their states.

    ``local`` is this daemon's record, ``running`` the configuration version
    that it runs (empty if none) and ``is_cut_off`` is true if it presumes
    to be cut off from its zone, as of the latest :meth:`expire`.
    ``last_received_at`` is when the latest datagram of any member arrived.
    Times are in seconds, of the timer service. Only members of the local
    zone are suspected here; other zones detect their own failures.
    """

    def __init__(self, *, local: Member, cfg: MembershipSettings) -> None:
        """Start with ``local``, this daemon's record, as the only member."""
        self.local = local
        self.state = make_cluster_state(local, cfg)
        self.running = ''
        self.is_cut_off = False
        self.last_received_at = float('-inf')
        self._cfg = cfg
        self.state.table.put(local)

    def set_local_member(self, local: Member) -> None:
        """Replace this daemon's record and gossip it."""
        self.local = local
        self.state.table.put(local)
        self.state.gossip.put_record(local)

    def merge_record(self, received: Member, now: float) -> bool:
        """Merge a record from a peer; return whether it changed anything."""
        if not is_valid(received):
            return False
        if received.vm == self.local.vm:
            return self._refute(received)
        record = self.state.table.get(received.vm)
        merged = received if record is None else merge(record, received)
        is_full = len(self.state.table) >= self._cfg.max_members
        if merged == record or (record is None and is_full):
            return False
        _store(self.state, merged, now)
        return True

    def refute_suspicion(self, notice: SuspicionNotice) -> None:
        """Refute a suspicion of this daemon that a peer holds.

        The refutation is first in the gossip queue, so that the peer gets
        it at once even if this daemon has refuted the same suspicion before.
        """
        if notice.vm != self.local.vm:
            return
        claimed = attrs.evolve(
            self.local,
            incarnation=notice.incarnation,
            state=notice.state,
        )
        self._refute(claimed)
        self.state.gossip.put_record(self.local, is_first=True)

    def suspect(self, vm: str, now: float, *, is_spread: bool = True) -> None:
        """Record that ``vm`` answered neither a direct nor indirect probe.

        The suspicion is gossiped only if ``is_spread`` is true.
        """
        record = self.state.table.get(vm)
        if record is None or record.state is MemberState.DEAD:
            return
        if record.state is MemberState.ALIVE:
            _log.info('member.suspected vm=%s', vm)
            suspect = attrs.evolve(record, state=MemberState.SUSPECT)
            self.state.table.put(suspect)
            if is_spread:
                self.state.gossip.put_record(suspect)
        self.state.suspicions.start(vm, now + self.state.suspicion_timeout())

    def expire(self, now: float) -> Sequence[str]:
        """Declare suspects dead after their timeout, unless cut off.

        Returns the VMs that are to be pinged once more before that.
        """
        self.is_cut_off = self.state.looks_cut_off(now)
        due = self.state.suspicions.due(now, grace=self.state.scaling.period)
        for vm in due.dead:
            record = self.state.table.get(vm)
            if self.is_cut_off:
                self.state.suspicions.clear(vm)
                self.state.suspicions.start(
                    vm, now + self.state.suspicion_timeout()
                )
            elif record is not None:
                _log.warning('member.dead vm=%s zone=%s', vm, record.zone)
                dead = attrs.evolve(record, state=MemberState.DEAD)
                _store(self.state, dead, now)
        self.state.table.evict_dead(now - self._cfg.tombstone_ms / _MS_PER_S)
        return due.in_grace

    def _refute(self, received: Member) -> bool:
        if merge(self.local, received) == self.local:
            return False
        if received.incarnation == self.local.incarnation:
            self.state.health.record_failure()
        _log.info(
            'member.refuted state=%s incarnation=%d',
            received.state,
            received.incarnation,
        )
        incarnation = received.incarnation + 1
        self.set_local_member(attrs.evolve(self.local, incarnation=incarnation))
        return True


def _store(state: ClusterState, record: Member, now: float) -> None:
    previous = state.table.get(record.vm)
    state.table.put(record, now)
    state.gossip.put_record(record)
    if previous is None or previous.incarnation < record.incarnation:
        state.suspicions.clear(record.vm)
    match record.state:
        case MemberState.ALIVE:
            state.suspicions.clear(record.vm)
        case MemberState.DEAD:
            state.suspicions.record_death(record.vm, now)
        case MemberState.SUSPECT if record.zone == state.zone:
            state.suspicions.start(record.vm, now + state.suspicion_timeout())
