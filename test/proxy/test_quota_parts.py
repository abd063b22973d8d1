"""Test who is asked for tokens, and answers that are late or not wanted."""

import asyncio
from typing import Any

import attrs
import pytest

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import DaemonRecord, Directory, ReportedRecord
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._liveness import Liveness
from goldcrestwharf.proxy._quota_calls import QuotaCalls, UnansweredError
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.proxy._quota_desk import QuotaDesk
from goldcrestwharf.proxy._quota_members import QuotaMembers
from goldcrestwharf.proxy._quota_messages import (
    QuotaRequest,
    pack_grant,
)
from goldcrestwharf.proxy._quota_metrics import QuotaReport
from goldcrestwharf.quotas import (
    AccountBook,
    Allotment,
    Limit,
    Token,
    TokenRequest,
    rank_names,
)
from goldcrestwharf.timers import ManualTimers

#: Last in the order of the workspace.
LOCAL = 'vm-7'
NAMES = tuple(f'vm-{number}' for number in range(8))
REQUEST = TokenRequest(workspace='bakery', wanted=1)


@attrs.define(kw_only=True)
class FakeTarget:
    features: int = PeerFeature.QUOTAS

    def supports(self, feature: PeerFeature) -> bool:
        return bool(self.features & feature)


@attrs.define(kw_only=True)
class FakeLink:
    is_up: bool = True
    target: FakeTarget = attrs.field(factory=FakeTarget)
    liveness: Liveness = attrs.field(
        factory=lambda: Liveness(is_local_zone=True)
    )


@attrs.define(kw_only=True)
class View:
    """Members as seen by one daemon, on a manual clock."""

    timers: ManualTimers
    members: QuotaMembers
    links: dict[str, Any]
    directory: Directory

    def find_order(self) -> list[str]:
        return list(dict.fromkeys(self.members.coordinators('bakery')))

    def add(self, name: str) -> None:
        record = DaemonRecord(name=name, address=f'{name}:1', zone='zone-a')
        report = ReportedRecord(record=record)
        self.directory.record_report(report, self.timers.now())
        self.links[name] = FakeLink()


def make_view(names: tuple[str, ...] = NAMES) -> View:
    timers = ManualTimers()
    local = DaemonRecord(name=LOCAL, address='vm-7:1', zone='zone-a')
    directory = Directory(local=local)
    view = View(
        timers=timers,
        members=QuotaMembers(directory=directory, clock=timers.now),
        links={},
        directory=directory,
    )
    view.members.links = view.links
    for name in names:
        if name != LOCAL:
            view.add(name)
    return view


def test_daemons_are_asked_in_the_order_of_all() -> None:
    assert make_view().find_order() == list(rank_names('bakery', NAMES))


def test_daemons_that_cannot_answer_are_not_asked() -> None:
    """They are lost, suspect, or of a release without limits."""
    view = make_view()
    others = [name for name in view.find_order() if name != LOCAL]
    view.links[others[0]].is_up = False
    view.links[others[1]].liveness.is_suspect = True
    view.links[others[2]].target.features = 0
    assert view.find_order() == [
        name for name in rank_names('bakery', NAMES) if name not in others[:3]
    ]


async def test_daemon_without_an_answer_is_passed_over_for_a_second() -> None:
    view = make_view()
    first = next(name for name in view.find_order() if name != LOCAL)
    view.members.avoid(first)
    assert first not in view.find_order()
    # Others still reach it, so its accounts aren't taken over as a whole.
    view.members.avoid(view.find_order()[0])
    assert not view.members.is_first('bakery')
    await view.timers.advance(1)
    assert first in view.find_order()


async def test_young_daemon_without_others_holds_no_account() -> None:
    view = make_view(names=())
    assert not view.members.may_hold()
    await view.timers.advance(2)
    assert view.members.may_hold()


async def test_young_daemon_holds_no_account_while_it_discovers_others() -> (
    None
):
    view = make_view(names=())
    for name in NAMES[:3]:
        view.add(name)
        await view.timers.advance(0.3)
        view.members.find_reach()
        assert not view.members.may_hold()
    await view.timers.advance(0.5)
    assert view.members.may_hold()


async def call_with_answer(delay: float) -> Allotment | None:
    """Return the answer that is read ``delay`` seconds after the request."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    sent: list[Any] = []
    calls = QuotaCalls(
        send=lambda peer, message: sent.append(message), clock=lambda: now
    )
    task = asyncio.create_task(calls.call('vm-1', REQUEST))
    await asyncio.sleep(0)
    now += delay
    calls.resolve(pack_grant(sent[0], Allotment(tokens=1)))
    return await task


async def test_grant_that_is_read_in_time_is_used() -> None:
    assert await call_with_answer(0.1) == Allotment(tokens=1)


async def test_grant_that_is_read_late_is_dropped() -> None:
    """Guards against tokens of the time before a pause."""
    with pytest.raises(UnansweredError):
        await call_with_answer(0.2)


async def test_loss_of_the_coordinator_ends_the_wait_at_once() -> None:
    calls = QuotaCalls(send=lambda *_: None, clock=lambda: 1e9)
    task = asyncio.create_task(calls.call('vm-1', REQUEST))
    await asyncio.sleep(0)
    calls.fail('vm-2')
    await asyncio.sleep(0)
    assert not task.done()
    calls.fail('vm-1')
    with pytest.raises(UnansweredError):
        await task


@attrs.define(kw_only=True)
class Entry:
    """Desk of an entry, and the messages that it sends."""

    desk: QuotaDesk
    calls: QuotaCalls
    sent: list[QuotaRequest]
    links: dict[str, Any]


def make_entry() -> Entry:
    clock = asyncio.get_running_loop().time
    view = make_view()
    sent: list[Any] = []
    calls = QuotaCalls(
        send=lambda peer, message: sent.append(message), clock=clock
    )
    context = QuotaContext(
        local=LOCAL,
        members=view.members,
        book=AccountBook(
            view=view.members,
            find_limit={'bakery': Limit(rate=10)}.get,
            clock=clock,
            handle_takeover=lambda *_: None,
        ),
        calls=calls,
        report=QuotaReport(clock=clock),
        clock=clock,
    )
    desk = QuotaDesk(workspace='bakery', context=context)
    return Entry(desk=desk, calls=calls, sent=sent, links=view.links)


async def take_turns(count: int = 5) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def test_requests_that_arrive_meanwhile_share_the_next_message() -> None:
    entry = make_entry()
    tasks = [
        asyncio.create_task(entry.desk.take(f'r-{number}'))
        for number in range(5)
    ]
    await take_turns()
    tasks.append(asyncio.create_task(entry.desk.take('r-late')))
    await take_turns()
    assert sum(request.tokens for request in entry.sent) == 5
    entry.calls.resolve(pack_grant(entry.sent[0], Allotment(tokens=5)))
    await take_turns()
    assert entry.sent[1].tokens == 1
    entry.calls.resolve(pack_grant(entry.sent[1], Allotment(tokens=1)))
    outcomes = await asyncio.gather(*tasks)
    assert all(isinstance(outcome, Token) for outcome in outcomes)


@pytest.mark.parametrize('first_wait', [0, 0.1])
async def test_token_of_a_cancelled_request_is_returned(
    first_wait: float,
) -> None:
    entry = make_entry()
    task = asyncio.create_task(entry.desk.take('r-1'))
    await take_turns()
    if not first_wait:
        task.cancel()
        await take_turns()
    entry.calls.resolve(
        pack_grant(entry.sent[0], Allotment(tokens=1, first_wait=first_wait))
    )
    await take_turns()
    task.cancel()
    await take_turns()
    assert task.cancelled()
    returned = entry.sent[-1]
    assert (returned.number, returned.returned) == (0, 1)


async def test_request_is_refused_when_no_daemon_holds_the_account() -> None:
    entry = make_entry()
    entry.links.clear()
    outcome = await entry.desk.take('r-1')
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.NO_COORDINATOR


async def test_second_daemon_is_asked_when_the_first_one_is_lost() -> None:
    entry = make_entry()
    task = asyncio.create_task(entry.desk.take('r-1'))
    await take_turns()
    order = rank_names('bakery', NAMES)
    entry.calls.fail(order[0])
    await take_turns()
    assert len(entry.sent) == 2
    entry.calls.resolve(pack_grant(entry.sent[1], Allotment(tokens=1)))
    outcome = await task
    assert isinstance(outcome, Token)
    assert outcome.coordinator == order[1]
