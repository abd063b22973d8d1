"""Hold what the tasks of one daemon's membership share."""

import random
from collections.abc import Iterable

import attrs

from goldcrestwharf.log import Log
from goldcrestwharf.membership._acks import Acks
from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._duties import Duties
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._messenger import Messenger
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._seal import Seal
from goldcrestwharf.membership._settings import MembershipSettings
from goldcrestwharf.peers import Credentials
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class MembershipContext:
    """Hold what a daemon gives to its membership.

    ``incarnation`` has to exceed that of an earlier process on the same VM
    wherever possible: the wall clock in milliseconds serves. A peer that
    remembers a higher one makes the daemon go above it. Beacons go to
    ``log``; without one, newcomers need seeds in their settings.
    """

    credentials: Credentials
    incarnation: int
    timers: Timers
    rng: random.Random
    cfg: MembershipSettings
    log: Log | None = None


@attrs.frozen(kw_only=True)
class Core:
    """Hold what the tasks of one daemon's membership share."""

    membership: Membership
    datagrams: Datagrams
    seal: Seal
    messenger: Messenger
    acks: Acks
    duties: Duties
    timers: Timers
    rng: random.Random
    cfg: MembershipSettings

    def now(self) -> float:
        """Return the time of the timer service in seconds."""
        return self.timers.now()


def absorb_all(core: Core, records: Iterable[Member]) -> int:
    """Merge ``records`` and return how many of them were news."""
    now = core.now()
    news = [core.membership.absorb(record, now) for record in records]
    return news.count(True)


def make_core(context: MembershipContext, datagrams: Datagrams) -> Core:
    """Return the shared parts of a daemon that has just started."""
    identity = context.credentials.identity
    own = Member(
        vm=identity.vm,
        zone=identity.zone,
        address=identity.address,
        incarnation=context.incarnation,
    )
    membership = Membership(own=own, cfg=context.cfg)
    seal = Seal(
        cluster=context.credentials.cluster,
        key=context.credentials.key,
        max_bytes=context.cfg.datagram_bytes,
    )
    return Core(
        membership=membership,
        datagrams=datagrams,
        seal=seal,
        messenger=Messenger(
            membership=membership,
            datagrams=datagrams,
            seal=seal,
        ),
        acks=Acks(timers=context.timers, rng=context.rng),
        duties=Duties(table=membership.known.table, vm=own.vm),
        timers=context.timers,
        rng=context.rng,
        cfg=context.cfg,
    )
