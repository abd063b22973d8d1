"""Test who is asked for tokens, and answers that are late or not wanted."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import (
    DaemonRecord,
    Departures,
    Directory,
    ReportedRecord,
)
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._peer_target import PeerTarget
from goldcrestwharf.proxy._quota_calls import QuotaCalls
from goldcrestwharf.proxy._quota_client import QuotaClient
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.proxy._quota_members import QuotaMembers
from goldcrestwharf.proxy._quota_messages import pack_grant
from goldcrestwharf.proxy._quota_metrics import QuotaReport
from goldcrestwharf.quotas import AccountBook, Allotment, Token, rank_names

#: The local daemon is the last one in the order of the workspace.
LOCAL = 'vm-7'
NAMES = tuple(f'vm-{number}' for number in range(8))
ORDER = rank_names('bakery', NAMES)


class Entry:
    """Entry on a manual clock, and the messages that it sends."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.now: float = 0
        self.sent: list[Any] = []
        self.links: dict[str, Any] = {}
        self.directory = Directory(local=make_record(LOCAL))
        self.members = QuotaMembers(directory=self.directory, clock=self.clock)
        self.members.links = self.links
        for name in names:
            self.add(name)
        self.calls = QuotaCalls(
            send=lambda _, message: self.sent.append(message),
            clock=asyncio.get_running_loop().time,
        )

    def clock(self) -> float:
        return self.now

    def add(self, name: str) -> None:
        if name == LOCAL:
            return
        report = ReportedRecord(record=make_record(name))
        self.directory.record_report(report, self.now)
        link = SimpleNamespace(
            is_up=True,
            target=PeerTarget(
                record=make_record(name),
                local_zone='',
                clock=self.clock,
                departures=Departures(drain_timeout=2, clock=self.clock),
            ),
            liveness=SimpleNamespace(
                is_suspect=False, request_ping=lambda: None
            ),
        )
        link.target.features = PeerFeature.QUOTAS
        self.links[name] = link

    def find_order(self) -> list[str]:
        return list(dict.fromkeys(self.members.coordinators('bakery')))

    def make_client(self) -> QuotaClient:
        clock = asyncio.get_running_loop().time
        book = AccountBook(
            view=self.members,
            find_limit=lambda _: None,
            clock=clock,
            handle_takeover=lambda *_: None,
            report_charge=lambda _: None,
        )
        context = QuotaContext(
            local=LOCAL,
            members=self.members,
            book=book,
            calls=self.calls,
            report=QuotaReport(clock=clock),
            clock=clock,
        )
        return QuotaClient(workspace='bakery', context=context)

    async def grant(self, index: int, allotment: Allotment) -> None:
        self.calls.resolve(pack_grant(self.sent[index], allotment))
        await take_turns()


def make_record(name: str) -> DaemonRecord:
    return DaemonRecord(name=name, address=f'{name}:1', zone='zone-a')


async def take_turns() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def start_take(client: QuotaClient) -> 'asyncio.Task[Token | Refusal]':
    task = asyncio.create_task(client.take('r-1'))
    await take_turns()
    return task


async def test_daemons_that_cannot_answer_are_not_asked() -> None:
    """They are lost, suspect, or of a release without limits."""
    entry = Entry()
    assert entry.find_order() == list(ORDER)
    entry.links[ORDER[0]].is_up = False
    entry.links[ORDER[1]].liveness.is_suspect = True
    entry.links[ORDER[2]].target.features = 0
    assert entry.find_order() == list(ORDER[3:])


async def test_daemon_without_an_answer_is_passed_over_for_a_second() -> None:
    entry = Entry()
    for name in ORDER[:-1]:
        entry.members.avoid(name)
    assert entry.find_order() == [LOCAL]
    # Others may reach them, so their accounts aren't taken over as a whole.
    assert not entry.members.is_first('bakery')
    entry.now += 1
    assert entry.find_order() == list(ORDER)


async def test_young_daemon_holds_no_account_while_it_discovers_others() -> (
    None
):
    """Guards against daemons that each take the few they know for all."""
    entry = Entry(names=())
    for name in NAMES[:3]:
        assert not entry.members.may_hold()
        entry.add(name)
        entry.now += 0.3
        entry.members.find_reach()
    assert not entry.members.may_hold()
    entry.now += 0.5
    assert entry.members.may_hold()


async def test_grant_that_is_read_late_is_dropped() -> None:
    """Guards against tokens of the time before a pause."""
    entry = Entry()
    task = await start_take(entry.make_client())
    entry.calls._clock = lambda: float('inf')
    await entry.grant(0, Allotment(tokens=1))
    assert not task.done()
    task.cancel()


async def test_requests_that_arrive_meanwhile_share_the_next_message() -> None:
    entry = Entry()
    client = entry.make_client()
    tasks = [await start_take(client) for _ in range(4)]
    await entry.grant(0, Allotment(tokens=1))
    assert entry.sent[1].tokens == 3
    await entry.grant(1, Allotment(tokens=3))
    outcomes = await asyncio.gather(*tasks)
    assert all(isinstance(outcome, Token) for outcome in outcomes)


@pytest.mark.parametrize('first_wait', [0, 0.1])
async def test_token_of_a_cancelled_request_is_returned(
    first_wait: float,
) -> None:
    entry = Entry()
    task = await start_take(entry.make_client())
    if not first_wait:
        task.cancel()
    await entry.grant(0, Allotment(tokens=1, first_wait=first_wait))
    task.cancel()
    await take_turns()
    assert task.cancelled()
    assert (entry.sent[-1].number, entry.sent[-1].returned) == (0, 1)


async def test_second_daemon_is_asked_when_the_first_one_is_lost() -> None:
    entry = Entry()
    task = await start_take(entry.make_client())
    entry.calls.fail(ORDER[0])
    await take_turns()
    await entry.grant(1, Allotment(tokens=1))
    outcome = await task
    assert isinstance(outcome, Token)
    assert outcome.coordinator == ORDER[1]


async def test_request_is_refused_when_no_daemon_holds_the_account() -> None:
    outcome = await Entry(names=()).make_client().take('r-1')
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.NO_COORDINATOR
