"""Test that targets get no more than their limit, and none once they leave."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.discovery import LeaveNotice
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy._link import PeerLink
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    TEST_TIMEOUT_S,
    Vm,
    find_link,
    is_linked,
    link_to_remote,
    open_vms,
    render,
    sees_draining,
    send_request,
    wait_until,
)

LIMIT = 1

#: Requests that a target may get in any four seconds, as stated by the
#: platform.
WINDOW_S = 4
WINDOW_FACTOR = 1.5
WINDOW_SLACK = 5

BURST = 40

#: Enough for all of them, so that only the limit bounds them.
SLOTS = 50

#: Time after which the platform counts requests to a leaving target.
DRAIN = 'goldcrestwharf.discovery._departures._DRAIN_FRACTION'

#: Interval of the checks that announce changes of the target.
CHECK_INTERVAL = 'goldcrestwharf.proxy._stream_monitor._CHECK_INTERVAL_S'

SNAPSHOT = make_snapshot(1, make_route(max_tries=1, timeout=TEST_TIMEOUT_S))


def answer_with_limit(req: Request) -> Answer:
    return answer_with(req, b'Target-Limit: %d' % LIMIT)


def answer_with_high_limit(req: Request) -> Answer:
    return answer_with(req, b'Target-Limit: 50')


def answer_with_leaving(req: Request) -> Answer:
    return answer_with(req, b'Target-Leaving: 1')


def answer_with(req: Request, notice: bytes) -> Answer:
    request_id = req.find(b'request-id') or b''
    return Answer(
        status=200,
        head=b'Request-Id: %b\r\nAnswer-Proof: p\r\n%b\r\n'
        % (request_id, notice),
    )


@attrs.define(kw_only=True)
class Scene:
    """Entry without a target, linked to a daemon whose target is watched."""

    entry: Vm
    remote: Vm
    began_at: float = 0

    @property
    def link(self) -> PeerLink:
        link = find_link(self.entry, 'vm-1')
        assert link is not None
        return link

    def start_window(self) -> None:
        self.remote.target.runs.clear()
        self.began_at = asyncio.get_running_loop().time()

    def is_within_limit(self) -> bool:
        elapsed = asyncio.get_running_loop().time() - self.began_at
        allowed = LIMIT * WINDOW_FACTOR * max(elapsed, WINDOW_S) + WINDOW_SLACK
        return len(self.remote.target.runs) <= allowed

    async def burst(self, vm: Vm, deadline_ms: int = 400) -> list[int]:
        """Send many requests at once; return the statuses."""
        answers = await asyncio.gather(
            *(
                send_request(
                    vm,
                    render(request_id=f'b-{number}', deadline_ms=deadline_ms),
                )
                for number in range(BURST)
            ),
        )
        return [answer.status for answer in answers]

    async def learn_notice(
        self, request_id: str = 'r-1', vm: Vm | None = None
    ) -> None:
        """Send a request whose answer tells the entry, or ``vm``, a notice."""
        deadline_ms = TEST_TIMEOUT_S * 1000
        message = render(request_id=request_id, deadline_ms=deadline_ms)
        answer = await send_request(vm or self.entry, message)
        assert answer.status == 200

    async def restart_remote(self) -> None:
        """Restart the daemon beside the target and wait for its link."""
        stream = self.link._stream
        await self.remote.restart()
        self.remote.send_heartbeat(slots=SLOTS)
        await self.wait_for_other_stream(stream)

    async def cut_stream(self) -> None:
        """End the stream to the daemon and wait for the next one."""
        stream = self.link._stream
        self.link.close()
        await self.wait_for_other_stream(stream)

    async def wait_for_other_stream(self, stream: object) -> None:
        await wait_until(lambda: self.link._stream not in {None, stream})
        await wait_until(lambda: is_linked(self.entry, 'vm-1'))


@asynccontextmanager
async def open_scene() -> AsyncIterator[Scene]:
    async with open_vms(2, SNAPSHOT) as vms:
        entry, remote = await link_to_remote(vms)
        remote.send_heartbeat(slots=SLOTS)
        yield Scene(entry=entry, remote=remote)


async def test_target_gets_no_more_than_its_limit_from_all_daemons() -> None:
    async with open_scene() as scene:
        scene.remote.target.answer = answer_with_limit
        scene.start_window()
        await scene.learn_notice()
        bursts = await asyncio.gather(
            scene.burst(scene.entry), scene.burst(scene.remote)
        )
        assert scene.is_within_limit()
    assert {status for burst in bursts for status in burst} <= {200, 503}


async def test_limit_holds_after_a_restart_of_the_daemon_of_the_target() -> (
    None
):
    async with open_scene() as scene:
        scene.remote.target.answer = answer_with_limit
        await scene.learn_notice()
        load = scene.link.target.load
        await wait_until(lambda: getattr(load, 'limit', LIMIT) == LIMIT)
        scene.remote.target.gate.clear()
        await scene.restart_remote()
        scene.start_window()
        sending = asyncio.create_task(scene.burst(scene.entry))
        await asyncio.wait({sending}, timeout=0.3)
        scene.remote.target.gate.set()
        await sending
        assert scene.is_within_limit()


async def test_limit_holds_after_a_cut_stream() -> None:
    async with open_scene() as scene:
        scene.remote.target.answer = answer_with_limit
        scene.start_window()
        await scene.learn_notice()
        await scene.cut_stream()
        await scene.burst(scene.entry)
        assert scene.is_within_limit()


@pytest.mark.parametrize(
    'damaged',
    [
        Answer(status=200, body=b'without proof'),
        Answer(status=503, head=b'Not-Run: 1\r\n'),
        Answer(status=500),
    ],
)
async def test_limit_is_kept_after_an_answer_without_proof(
    damaged: Answer,
) -> None:
    async with open_scene() as scene:
        scene.remote.target.answer = answer_with_high_limit
        await scene.learn_notice()
        scene.remote.target.answer = lambda _: damaged
        await send_request(scene.entry, render(request_id='r-2'))
        notices = scene.remote.daemon._local_target.notices
        assert notices.limit == 50


async def test_limit_ends_with_an_answer_that_names_none() -> None:
    async with open_scene() as scene:
        scene.remote.target.answer = answer_with_high_limit
        await scene.learn_notice()
        scene.remote.target.answer = scene.remote.target.succeed
        await scene.learn_notice('r-2')
        scene.start_window()
        statuses = await scene.burst(scene.entry, TEST_TIMEOUT_S * 1000)
    assert set(statuses) == {200}


@pytest.fixture
def immediate_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving target gets nothing from the notice on."""
    monkeypatch.setattr(DRAIN, 0)


async def count_after_leaving(scene: Scene, *, has_restart: bool) -> int:
    """Return how many requests reach the target after its notice."""
    scene.remote.target.answer = answer_with_leaving
    await scene.learn_notice()
    if has_restart:
        await scene.restart_remote()
    scene.start_window()
    statuses = await scene.burst(scene.entry)
    assert set(statuses) <= {200, 503}
    return len(scene.remote.target.runs)


@pytest.mark.usefixtures('immediate_drain')
async def test_leaving_in_an_answer_ends_requests_to_the_target() -> None:
    async with open_scene() as scene:
        assert not await count_after_leaving(scene, has_restart=False)


@pytest.mark.usefixtures('immediate_drain')
async def test_leaving_is_remembered_over_a_restart_of_its_daemon() -> None:
    async with open_scene() as scene:
        assert not await count_after_leaving(scene, has_restart=True)


@pytest.mark.usefixtures('immediate_drain')
async def test_later_start_of_a_target_that_left_gets_requests() -> None:
    async with open_scene() as scene:
        await count_after_leaving(scene, has_restart=False)
        target = scene.remote.target
        target.close()
        await target.listen()
        target.answer = target.succeed
        scene.remote.send_heartbeat()
        await wait_until(lambda: is_ready(scene))
        assert (await send_request(scene.entry, render())).status == 200


def is_ready(scene: Scene) -> bool:
    candidate = scene.link.target.candidate
    return bool(candidate and not candidate.is_draining)


@pytest.mark.usefixtures('immediate_drain')
@pytest.mark.parametrize('asks_remote', [False, True])
async def test_announced_leaving_is_remembered_over_a_restart_of_its_daemon(
    *, asks_remote: bool
) -> None:
    """A late heartbeat, sent before the leaving, says that it is ready."""
    async with open_scene() as scene:
        remote = scene.remote
        tracker = remote.daemon.core.instance_tracker
        assert tracker.current is not None
        tracker.record_leave(
            LeaveNotice(instance_id=tracker.current.heartbeat.instance_id),
            remote.daemon.core.clock(),
        )
        remote.daemon.handle_target_change()
        await wait_until(lambda: sees_draining(scene.entry, 'vm-1'))
        await scene.restart_remote()
        scene.start_window()
        asked = remote if asks_remote else scene.entry
        response = await send_request(asked, render())
        assert not remote.target.runs
    assert response.status == 503


async def test_restart_of_a_daemon_does_not_restart_the_drain_period() -> None:
    """A hint at the leaving comes from a daemon that has long known it."""
    async with open_scene() as scene:
        remote = scene.remote
        remote.target.answer = answer_with_leaving
        await scene.learn_notice()
        await scene.restart_remote()
        tracker = remote.daemon.core.instance_tracker
        await wait_until(
            lambda: (
                tracker.current is not None
                and tracker.current.draining_since is not None
            )
        )
        remote.target.answer = remote.target.succeed
        scene.start_window()
        response = await send_request(remote, render(request_id='r-2'))
        assert not remote.target.runs
    assert response.status == 503


@pytest.mark.usefixtures('immediate_drain')
async def test_leaving_in_an_answer_is_announced_before_the_next_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The daemon that got the answer may end before its next check."""
    monkeypatch.setattr(CHECK_INTERVAL, TEST_TIMEOUT_S)
    async with open_scene() as scene:
        remote = scene.remote
        remote.target.answer = answer_with_leaving
        await scene.learn_notice(vm=remote)
        await scene.restart_remote()
        scene.start_window()
        response = await send_request(scene.entry, render(request_id='r-2'))
        assert not remote.target.runs
    assert response.status == 503
