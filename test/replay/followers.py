"""Make followers of a log under test."""

from goldcrestwharf.log import Log
from goldcrestwharf.replay import LogFollower, ReplaySettings, SnapshotHolder
from goldcrestwharf.timers import Timers
from test.helper import make_rng


def make_follower(
    log: Log,
    timers: Timers,
    cfg: ReplaySettings,
) -> LogFollower:
    return LogFollower(
        log=log,
        holder=SnapshotHolder(),
        timers=timers,
        rng=make_rng(),
        cfg=cfg,
    )
