"""Define the dependencies of the request path."""

import random

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import TargetClient
from goldcrestwharf.limits import Claims, LimitSettings
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Peers
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class HopsContext:
    """The parts of the daemon that the request path depends on.

    ``claims`` is ``None`` if no platform is configured; requests with an
    idempotency key are then refused. Background tasks run in ``tg``.
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
