"""Daemons that exchange tokens with delays, on the time of a virtual loop.

Exchange, queues and accounts are those of the product; messages, links and
callers are modelled. Nothing depends on the wall clock.
"""

import asyncio
import itertools
import random
import selectors
from collections.abc import Callable, Coroutine
from types import SimpleNamespace

import attrs

from goldcrestwharf.discovery import DaemonRecord, Directory, ReportedRecord
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._pause import PauseDetector
from goldcrestwharf.proxy._quota_exchange import QuotaExchange
from goldcrestwharf.proxy._quota_messages import QuotaRequest
from goldcrestwharf.quotas import rank_names
from goldcrestwharf.workspaces import Workspace, WorkspaceTable

WORKSPACE = 'bakery'
NAMES = tuple(f'vm-{number}' for number in range(6))
COORDINATOR, *OTHERS = rank_names(WORKSPACE, NAMES)
WINDOW_S = 5
CHECK_INTERVAL_S = 0.2

#: Seconds without a sign of life after which a link is suspect.
SUSPECT_S = 0.4

#: Seconds that a run lasts, and after which an impatient caller asks again.
WORK_S = 0.01
IMPATIENCE_S = 0.02

#: Least distance of two messages of one stream, which keep their order.
_MESSAGE_GAP_S = 1e-6

#: Returns the seconds that a message takes, by sender and receiver.
Delay = Callable[[str, str], float]


class _VirtualSelector(selectors.SelectSelector):
    """Selector that moves the time to the next timer without a wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, 'no timer is left'
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


@attrs.frozen(kw_only=True)
class Stall:
    """Time in which a daemon doesn't run."""

    daemon: str
    begins: float
    ends: float


@attrs.frozen(kw_only=True)
class Conditions:
    """What disturbs the daemons.

    ``stalls`` of each daemon don't overlap. ``restarts`` are the times at
    which a daemon starts anew without its state.
    """

    delay: Delay = lambda *_: 0.002
    stalls: tuple[Stall, ...] = ()
    restarts: tuple[tuple[float, str], ...] = ()


@attrs.frozen(kw_only=True)
class Run:
    """Request that ran; times are seconds."""

    sent: float
    began: float


class Daemon:
    """Daemon with its exchange of tokens."""

    def __init__(self, *, name: str, mesh: 'DelayedMesh') -> None:
        directory = Directory(local=make_record(name))
        links = {}
        for other in NAMES:
            if other != name:
                report = ReportedRecord(record=make_record(other))
                directory.record_report(report, mesh.clock())
                links[other] = Link(sender=name, receiver=other, mesh=mesh)
        self.name = name
        self._mesh = mesh
        self._pause = PauseDetector(clock=mesh.clock)
        self.exchange = QuotaExchange(
            directory=directory,
            holder=mesh.holder,
            clock=mesh.clock,
            find_pause=self._pause.find_pause,
        )
        self.exchange.watch(links)

    async def check_forever(self) -> None:
        # Daemons don't check at the same time.
        phase = NAMES.index(self.name) / len(NAMES)
        await asyncio.sleep(phase * CHECK_INTERVAL_S)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._mesh.wait_until_running(self.name)
            self._pause.record_activity()
            self.exchange.check()

    async def receive(self, sender: str, message: object) -> None:
        await self._mesh.wait_until_running(self.name)
        if not isinstance(message, QuotaRequest):
            self.exchange.receive(message)
            return
        answer = self.exchange.grant(sender, message)
        if answer is not None:
            self._mesh.send(self.name, sender, answer)


class Link:
    """Link as the exchange sees it."""

    is_up = True

    def __init__(
        self, *, sender: str, receiver: str, mesh: 'DelayedMesh'
    ) -> None:
        self._sender = sender
        self._receiver = receiver
        self._mesh = mesh
        self.target = SimpleNamespace(
            supports=lambda feature: feature is PeerFeature.QUOTAS
        )

    @property
    def liveness(self) -> SimpleNamespace:
        stall = self._mesh.find_stall(self._receiver)
        silence = 0 if stall is None else self._mesh.clock() - stall.begins
        return SimpleNamespace(
            is_suspect=silence > SUSPECT_S, request_ping=lambda: None
        )

    def send(self, message: object) -> None:
        self._mesh.send(self._sender, self._receiver, message)


class DelayedMesh:
    """Daemons of one workspace, and the requests that they let in."""

    def __init__(
        self, *, rate: float, burst: float, conditions: Conditions
    ) -> None:
        self.clock = asyncio.get_running_loop().time
        self.sent = 0
        self.runs: list[Run] = []
        self._bound = (rate * WINDOW_S + burst) * 1.1 + 20
        self._conditions = conditions
        self._ids = itertools.count()
        self._arrived_at: dict[tuple[str, str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._workspace = Workspace(
            name=WORKSPACE, key_digests=frozenset(), rate=rate, burst=burst
        )
        table = WorkspaceTable(workspaces=(self._workspace,))
        self.holder = SimpleNamespace(current=SimpleNamespace(workspaces=table))
        self.daemons: dict[str, Daemon] = {}
        for name in NAMES:
            self._start_daemon(name)
        for at, name in conditions.restarts:
            self._start(self._restart(at, name))

    def find_excess(self) -> float:
        """Return the most runs of any window, relative to the bound.

        A run counts in a window that also has the time of its sending.
        """
        starts = [run.began for run in self.runs]
        peak = max(
            sum(
                start <= run.sent and run.began <= start + WINDOW_S
                for run in self.runs
            )
            for start in starts
        )
        return peak / self._bound

    def count_runs(self, begins: float, ends: float) -> int:
        return sum(begins <= run.began < ends for run in self.runs)

    def find_stall(self, daemon: str) -> Stall | None:
        now = self.clock()
        for stall in self._conditions.stalls:
            if stall.daemon == daemon and stall.begins <= now < stall.ends:
                return stall
        return None

    async def wait_until_running(self, daemon: str) -> None:
        stall = self.find_stall(daemon)
        while stall is not None:
            await asyncio.sleep(stall.ends - self.clock())
            stall = self.find_stall(daemon)

    def send(self, sender: str, receiver: str, message: object) -> None:
        now = self.clock()
        stream = (sender, receiver)
        earliest = self._arrived_at.get(stream, 0) + _MESSAGE_GAP_S
        at = max(now + self._conditions.delay(sender, receiver), earliest)
        self._arrived_at[stream] = at
        self._start(self._deliver(at - now, stream, message))

    async def repeat_at_once(self, entry: str, until: float) -> None:
        """Ask again soon after each answer, each time under a new id."""
        while self.clock() < until:
            if await self.request(entry) is None:
                await asyncio.sleep(WORK_S)
            await asyncio.sleep(IMPATIENCE_S)

    async def repeat_as_told(self, entry: str, until: float) -> None:
        """Return as ``Retry-After`` says, under the same id."""
        while self.clock() < until:
            request_id = f'r-{next(self._ids)}'
            wait: float | None = 0
            while wait is not None:
                await asyncio.sleep(wait)
                wait = await self.request(entry, request_id)
            await asyncio.sleep(WORK_S)

    async def load(self, rate: float, until: float) -> None:
        """Send requests at random times, each once."""
        rng = random.Random('load')
        while self.clock() < until:
            await asyncio.sleep(rng.expovariate(rate))
            self._start(self.request(rng.choice(NAMES)))
        await asyncio.sleep(1)

    async def request(self, entry: str, request_id: str = '') -> float | None:
        """Send a request; return its ``Retry-After`` if it is refused."""
        sent = self.clock()
        self.sent += 1
        plan = SimpleNamespace(
            workspace=self._workspace,
            request_id=request_id or f'r-{next(self._ids)}',
            token=None,
        )
        await self.wait_until_running(entry)
        exchange = self.daemons[entry].exchange
        refusal = await exchange.gate.admit(plan)
        await self.wait_until_running(entry)
        if refusal is not None:
            return refusal.retry_after
        self.runs.append(Run(sent=sent, began=self.clock()))
        return None

    async def close(self) -> None:
        for daemon in self.daemons.values():
            daemon.exchange.gate.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _deliver(
        self, wait: float, stream: tuple[str, str], message: object
    ) -> None:
        sender, receiver = stream
        await asyncio.sleep(wait)
        await self.daemons[receiver].receive(sender, message)

    async def _restart(self, at: float, name: str) -> None:
        await asyncio.sleep(at - self.clock())
        self._start_daemon(name)
        for other in NAMES:
            if other != name:
                self._start(self._lose(other, name))

    async def _lose(self, name: str, lost: str) -> None:
        await asyncio.sleep(self._conditions.delay(lost, name))
        await self.wait_until_running(name)
        self.daemons[name].exchange.handle_lost(lost)

    def _start_daemon(self, name: str) -> None:
        daemon = Daemon(name=name, mesh=self)
        self.daemons[name] = daemon
        self._start(daemon.check_forever())

    def _start(self, coroutine: Coroutine[None, None, object]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_record(name: str) -> DaemonRecord:
    return DaemonRecord(name=name, address=f'{name}:1', zone='zone-a')
