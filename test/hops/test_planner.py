"""Check the plan of a request before its first attempt."""

import random
from collections import Counter

from goldcrestwharf.hops import HopsSettings
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._route_cache import RouteCache
from goldcrestwharf.objects import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    digest_of,
)
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED

OBJECTS = ObjectSet(
    target_groups={'pool': TargetGroup(), 'canary': TargetGroup()},
    services={'menu': Service(target_group='pool', split={'canary': 20})},
    routes={'web': Route(service='menu')},
)


def make_planner() -> Planner:
    holder = SnapshotHolder()
    holder.offer(
        Snapshot(
            version=Version(1, 0),
            digest=digest_of(OBJECTS),
            objects=OBJECTS,
        ),
    )
    return Planner(
        routes=RouteCache(holder=holder),
        timers=ManualTimers(),
        rng=random.Random(SEED),
        cfg=HopsSettings(),
    )


def make_request() -> CallerRequest:
    return CallerRequest(
        caller='127.0.0.1',
        method='GET',
        host='menu.example',
        path='/',
        target=b'/',
        headers=(),
        body=b'',
    )


def test_split_sends_its_percentage_to_the_other_group() -> None:
    planner = make_planner()
    plans = [planner.plan(make_request()) for _ in range(1000)]
    chosen = Counter(
        plan.group_name for plan in plans if isinstance(plan, Plan)
    )
    assert chosen.total() == 1000
    assert 150 < chosen['canary'] < 250
