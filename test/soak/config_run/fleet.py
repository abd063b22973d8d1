"""The store, the operator, the VMs and the clients of one run."""

import asyncio
import datetime
import json
import random
import time
from pathlib import Path

import attrs

from goldcrestwharf.http1 import ClientConn, ExchangeError, connect
from test.soak.config_run.contact import Contact
from test.soak.config_run.judge import Broken, Finding, Sent
from test.soak.config_run.links import Links
from test.soak.config_run.machines import Plan
from test.soak.config_run.store import FailingStore
from test.soak.config_run.versions import (
    FIRST_ROUTES,
    HOST,
    INVALID_ROUTE,
    UNKNOWN_ROUTE,
    Operator,
)
from test.soak.records import Records
from test.soak.vm import Vm, render_request

_TOPIC = 'keyed.op'
_KEY = 'config'
_DEADLINE_MS = 2500
_CALLER_TIMEOUT_S = 3.5
_CONNECT_TIMEOUT_S = 1.0

#: Shares of requests on routes that changed last, and on the first routes.
_RECENT_SHARE = 0.55
_FIRST_SHARE = 0.25

_PAUSE_S = (0.1, 0.35)


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The parts of one run; ``requests`` are all that clients sent."""

    vms: list[Vm]
    store: FailingStore
    links: Links
    operator: Operator
    contact: Contact
    requests: dict[str, Sent]
    rng: random.Random
    journal: Path
    exits: Records = attrs.field(factory=Records)
    is_finished: bool = False

    def note(self, event: str, **fields: object) -> None:
        """Write an event to the journal, with the daemons' time format."""
        now = datetime.datetime.now(datetime.UTC).isoformat()
        line = json.dumps({'time': now, 'event': event, **fields}, default=str)
        with self.journal.open('a') as journal:
            journal.write(f'{line}\n')

    def publish(self) -> None:
        """Write the next version to the store, which acknowledges it."""
        document = self.operator.change()
        self.store.put(_TOPIC, _KEY, document)
        self.operator.acknowledge()
        version = self.operator.history.versions[-1]
        self.note('published', version=version.number, size=len(document))

    def write_invalid(self, document: bytes) -> None:
        """Write a record that isn't a valid configuration to the store."""
        self.store.put(_TOPIC, _KEY, document)
        self.operator.recent.append(INVALID_ROUTE)
        self.note('invalid', start=document[:60].decode(errors='replace'))

    def list_exits(self) -> list[Finding]:
        """Return the processes that ended by themselves."""
        return [
            Finding(
                rule=Broken.ENDED, daemon=text.split()[0], after='', text=text
            )
            for text in self.exits.violations
        ]

    async def run_client(self, vm: Vm, *, is_kept: bool) -> None:
        """Send requests to one VM until the run ends."""
        client = Client(fleet=self, vm=vm, is_kept=is_kept)
        while not self.is_finished:
            await client.send(self.choose_route())
            await asyncio.sleep(self.rng.uniform(*_PAUSE_S))
        client.close()

    def choose_route(self) -> str:
        """Return the route of the next request."""
        rng, operator = self.rng, self.operator
        drawn = rng.random()
        if operator.recent and drawn < _RECENT_SHARE:
            return rng.choice(operator.recent)
        if drawn < _RECENT_SHARE + _FIRST_SHARE:
            return rng.choice(FIRST_ROUTES)
        return rng.choice([*operator.rules, INVALID_ROUTE, UNKNOWN_ROUTE])

    async def serves_all_routes(self, vm: Vm) -> bool:
        """Return whether a VM serves each route of the newest version."""
        client = Client(fleet=self, vm=vm, is_kept=False)
        for route in tuple(self.operator.rules):
            sent = await client.send(route)
            if sent.status != 200:
                return False
        return True

    def close(self) -> None:
        self.is_finished = True
        for vm in self.vms:
            vm.close()
        self.store.close()


@attrs.define(kw_only=True, eq=False)
class Client:
    """A client of one VM, which keeps its connection if ``is_kept``."""

    fleet: Fleet
    vm: Vm
    is_kept: bool
    _conn: ClientConn | None = None

    async def send(self, route: str) -> Sent:
        """Send a request and record how it ended."""
        fleet = self.fleet
        request_id = f'q-{len(fleet.requests)}'
        sent = Sent(
            request_id=request_id,
            daemon=self.vm.name,
            incarnation=self.vm.start_count,
            route=route,
            sent_at=time.monotonic(),
            is_kept=self.is_kept,
        )
        fleet.requests[request_id] = sent
        sent.status = await self._exchange(sent)
        sent.ended_at = time.monotonic()
        if not (sent.status or sent.runs):
            # Lets a daemon start again.
            await asyncio.sleep(self.fleet.rng.uniform(*_PAUSE_S))
        return sent

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def _exchange(self, sent: Sent) -> int:
        rule = self.fleet.operator.rules.get(sent.route)
        message = render_request(
            'GET' if rule is None or rule.is_repeatable else 'POST',
            f'/{sent.route}/{sent.request_id}',
            host=HOST,
            head=(
                f'Request-Id: {sent.request_id}',
                f'Deadline-Ms: {_DEADLINE_MS}',
            ),
        )
        try:
            status = await self._find_status(message)
        except (OSError, ExchangeError):
            self.close()
            return 0
        if not self.is_kept:
            self.close()
        return status

    async def _find_status(self, message: bytes) -> int:
        if self._conn is None or not self._conn.is_usable:
            self._conn = await connect(
                self.vm.callers, timeout=_CONNECT_TIMEOUT_S
            )
        async with asyncio.timeout(_CALLER_TIMEOUT_S):
            answer = await self._conn.exchange(message)
        return answer.status


async def make_fleet(
    folder: Path,
    source: Path,
    *,
    seed: int,
    count: int,
    is_large: bool = False,
    fast: int,
) -> Fleet:
    """Return a fleet whose daemons are not started yet."""
    rng = random.Random(seed)
    fleet = Fleet(
        vms=[],
        store=FailingStore(rng=random.Random(rng.random())),
        links=Links(),
        operator=Operator(rng=random.Random(rng.random()), is_large=is_large),
        contact=Contact(),
        requests={},
        rng=random.Random(rng.random()),
        journal=folder / 'journal.log',
    )
    fleet.publish()
    plan = Plan(
        folder=folder,
        source=source,
        count=count,
        store=fleet.store,
        links=fleet.links,
        requests=fleet.requests,
        rng=random.Random(rng.random()),
        fast=fast,
    )
    fleet.vms.extend(await plan.make_vms())
    return fleet
