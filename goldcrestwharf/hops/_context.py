"""Define what the hops need of the rest of the daemon."""

import random

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import TargetClient
from goldcrestwharf.limits import Claims, CrashGuard, LimitSettings
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Peers
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class HopsContext:
    """Hold what the hops need of the rest of the daemon.

    ``claims`` is ``None`` where no platform is configured; requests with an
    idempotency key are refused then. Background work runs in ``tg``.
    """

    view: MembershipView
    holder: SnapshotHolder
    peers: Peers
    client: TargetClient
    guard: CrashGuard
    claims: Claims | None
    timers: Timers
    rng: random.Random
    tg: TaskGroup
    hops: HopsSettings
    limits: LimitSettings
    routing: RoutingSettings
