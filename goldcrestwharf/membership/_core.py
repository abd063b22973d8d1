"""Define the objects that the tasks of one daemon's membership share."""

import random
from collections.abc import Iterable

import attrs

from goldcrestwharf.log import Log
from goldcrestwharf.membership._acks import Acks
from goldcrestwharf.membership._datagram_codec import DatagramCodec
from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._messenger import Messenger
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._roles import RoleAssignment
from goldcrestwharf.membership._settings import MembershipSettings
from goldcrestwharf.peers import Credentials
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class MembershipContext:
    """Parameters of a daemon's membership.

    ``incarnation`` should exceed that of an earlier process on the same VM;
    the wall clock in milliseconds is used. If a peer has stored a higher
    one, the daemon continues above it. Beacons are appended to ``log``;
    without a log, new daemons need seeds in their settings.
    """

    credentials: Credentials
    incarnation: int
    timers: Timers
    rng: random.Random
    cfg: MembershipSettings
    log: Log | None = None


@attrs.frozen(kw_only=True)
class Core:
    """Objects that the tasks of one daemon's membership share."""

    membership: Membership
    datagrams: Datagrams
    codec: DatagramCodec
    messenger: Messenger
    acks: Acks
    roles: RoleAssignment
    timers: Timers
    rng: random.Random
    cfg: MembershipSettings

    def now(self) -> float:
        """Return the time of the timer service in seconds."""
        return self.timers.now()


def merge_records(core: Core, records: Iterable[Member]) -> int:
    """Merge ``records`` and return how many of them changed something."""
    now = core.now()
    changed = [core.membership.merge_record(record, now) for record in records]
    return changed.count(True)


def make_core(context: MembershipContext, datagrams: Datagrams) -> Core:
    """Return the shared objects of a daemon that has just started."""
    identity = context.credentials.identity
    local = Member(
        vm=identity.vm,
        zone=identity.zone,
        address=identity.address,
        incarnation=context.incarnation,
    )
    membership = Membership(local=local, cfg=context.cfg)
    codec = DatagramCodec(
        cluster=context.credentials.cluster,
        key=context.credentials.key,
        max_bytes=context.cfg.datagram_bytes,
    )
    return Core(
        membership=membership,
        datagrams=datagrams,
        codec=codec,
        messenger=Messenger(
            membership=membership,
            datagrams=datagrams,
            codec=codec,
        ),
        acks=Acks(timers=context.timers, rng=context.rng),
        roles=RoleAssignment(table=membership.state.table, vm=local.vm),
        timers=context.timers,
        rng=context.rng,
        cfg=context.cfg,
    )
