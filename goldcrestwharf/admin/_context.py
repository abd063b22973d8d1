"""The parts of the daemon that the administration API uses."""

import attrs

from goldcrestwharf.distribution import Distribution
from goldcrestwharf.hops import CallerFrontend
from goldcrestwharf.membership import LiveView
from goldcrestwharf.peers import Peers
from goldcrestwharf.publishing import Publisher
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.replay import LogFollower, SnapshotHolder
from goldcrestwharf.settings import DaemonSettings


@attrs.frozen(kw_only=True)
class AdminContext:
    """The parts of the daemon that the administration API uses."""

    cfg: DaemonSettings
    holder: SnapshotHolder
    distribution: Distribution
    follower: LogFollower
    view: LiveView
    peers: Peers
    guard: CrashGuard
    publisher: Publisher
    frontend: CallerFrontend
