"""Build the parts of a daemon from what they share."""

import itertools
from collections.abc import Callable

from goldcrestwharf.placement import Placement, RequestClassStats, WeightedSplit
from goldcrestwharf.proxy._chooser import Chooser
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._entry import Entry, EntryContext
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._introductions import (
    make_hello,
    take_known,
    tell_known,
)
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._owner import Owner, OwnerContext
from goldcrestwharf.proxy._peer_messages import Hello, TargetState
from goldcrestwharf.proxy._planner import Planner, PlannerContext
from goldcrestwharf.proxy._repeats import Repeats
from goldcrestwharf.proxy._sessions import SessionContext, Sessions
from goldcrestwharf.proxy._store_reading import make_news
from goldcrestwharf.proxy._target_pool import TargetPool

ReceiveHello = Callable[[Hello], None]
DescribeTarget = Callable[[], TargetState]


def make_owner(core: Core) -> Owner:
    """Return the part that runs requests on the own target."""
    return Owner(
        context=OwnerContext(
            register=core.register,
            pool=TargetPool(address=core.cfg.target, clock=core.clock),
            shutdown=core.shutdown,
            names=core.cfg.names,
            drain_timeout=core.cfg.drain_timeout,
            clock=core.clock,
        ),
    )


def make_sessions(
    core: Core,
    owner: Owner,
    describe_target: DescribeTarget,
    receive_hello: ReceiveHello,
) -> Sessions:
    """Return the part that other daemons connect to."""
    return Sessions(
        owner=owner,
        context=SessionContext(
            make_hello=lambda: make_hello(core),
            receive_hello=receive_hello,
            tell_known=lambda ask: tell_known(core, ask),
            describe_target=describe_target,
            find_document=core.exchange.find,
            make_news=lambda: make_news(core),
            find_report=owner.report,
            clock=core.clock,
        ),
    )


def make_fleet(
    core: Core,
    owner: Owner,
    describe_target: DescribeTarget,
    receive_hello: ReceiveHello,
) -> Fleet:
    """Return the part that connects to other daemons."""
    return Fleet(
        directory=core.directory,
        owner=owner,
        describe_target=describe_target,
        context=LinkContext(
            make_hello=lambda wanted: make_hello(core, wanted),
            receive_hello=receive_hello,
            receive_known=lambda known: take_known(core, known),
            receive_document=core.exchange.receive,
            note_version=core.exchange.note_version,
            clock=core.clock,
            rng=core.rng,
            local_zone=core.cfg.zone,
            has_narrow_link=core.cfg.has_narrow_link,
            numbers=itertools.count(1),
        ),
    )


def make_entry(core: Core, fleet: Fleet) -> Entry:
    """Return the part that answers callers."""
    planner = Planner(
        context=PlannerContext(
            holder=core.holder,
            split=WeightedSplit(rng=core.rng),
            names=core.cfg.names,
            caller_service=core.cfg.service,
        ),
    )
    repeats = Repeats(
        terms=core.cfg.budget,
        clock=core.clock,
        count_members=lambda: core.directory.most_seen,
    )
    chooser = Chooser(
        fleet=fleet,
        placement=Placement(rng=core.rng),
        request_classes=RequestClassStats(),
        shutdown=core.shutdown,
        clock=core.clock,
    )
    return Entry(
        context=EntryContext(
            planner=planner,
            chooser=chooser,
            fleet=fleet,
            repeats=repeats,
            clock=core.clock,
            draw=core.rng.random,
        ),
    )
