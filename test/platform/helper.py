"""A stand-in for the platform's store that speaks its published protocol."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from urllib.parse import parse_qs

import attrs

from goldcrestwharf.http1 import Answer, HttpListener, Request
from goldcrestwharf.platform._announce import Announcer
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._store import Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from test.helper import make_rng
from test.proxy.helper import Vm

HOST = '127.0.0.1'
OFFSET_BYTES = 8

#: Longer than any test.
SILENCE_S = 60


@attrs.define(kw_only=True)
class Partition:
    """The records of a keyed topic, from offset ``first`` on."""

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def find_offset(self, key: str) -> int:
        """Return the offset of the newest record of a key, zero if none."""
        name = key.encode()
        prefix = b'%c%b' % (len(name), name)
        offsets = [
            self.first + index
            for index, record in enumerate(self.records)
            if record.startswith(prefix)
        ]
        return max(offsets, default=0)


class StubStore:
    """A store of keyed topics in memory; each call takes one of ``faults``.

    A fault is a status to answer with, ``lost`` for a call that takes effect
    but isn't answered, or ``silent`` for a call without effect and answer.
    Each answer carries ``epoch``.
    """

    page_size = 2

    def __init__(self) -> None:
        self.address = ''
        self.topics: dict[str, Partition] = {}
        self.newest: dict[str, dict[str, bytes]] = {}
        self.faults: list[int | str] = []
        self.calls: list[str] = []
        self.epoch = 1
        self._waiting = 0
        self._period = 0
        self._changed = asyncio.Event()
        self._listener = HttpListener(handler=self._respond)

    @property
    def waiting(self) -> int:
        return self._waiting

    async def listen(self) -> None:
        self.address = await self._listener.listen(f'{HOST}:0')

    def close(self) -> None:
        self._listener.close()

    def put(self, topic: str, key: str, payload: bytes) -> None:
        name = key.encode()
        record = b'%c%b%b' % (len(name), name, payload)
        self.topics.setdefault(topic, Partition()).records.append(record)
        self.newest.setdefault(topic, {})[key] = payload
        self._changed.set()
        self._changed = asyncio.Event()

    def discard_history(self, topic: str) -> None:
        partition = self.topics[topic]
        partition.first = partition.end
        partition.records.clear()

    def restore(self, topic: str, count: int, *, swallows: bool) -> None:
        """Come back from a copy that has the first ``count`` records.

        Reads that wait are never answered if ``swallows`` is set; their
        connections stay open.
        """
        partition = self.topics.setdefault(topic, Partition())
        partition.records = partition.records[:count]
        self.newest[topic] = {
            record[1 : 1 + record[0]].decode(): record[1 + record[0] :]
            for record in partition.records
        }
        self.epoch += 1
        if swallows:
            self.silence()

    def silence(self) -> None:
        """Never answer the calls in progress; their connections stay open."""
        self._period += 1

    async def _respond(self, req: Request) -> Answer:
        period = self._period
        answer = await self._respond_to_call(req)
        if period < self._period:
            await asyncio.sleep(SILENCE_S)
        return attrs.evolve(answer, head=b'Store-Era: %d\r\n' % self.epoch)

    async def _respond_to_call(self, req: Request) -> Answer:
        call, _, query = req.target.decode().partition('?')
        fields = {name: found[0] for name, found in parse_qs(query).items()}
        self.calls.append(call)
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, int):
            return Answer(status=fault, body=b'{}')
        if fault == 'silent':
            await asyncio.sleep(SILENCE_S)
        answer = await self._answer(call, fields, req.body)
        if fault == 'lost':
            await asyncio.sleep(SILENCE_S)
        return answer

    async def _answer(
        self,
        call: str,
        fields: dict[str, str],
        body: bytes,
    ) -> Answer:
        partition = self.topics.setdefault(fields['topic'], Partition())
        if call == '/-/log-append':
            if int(fields.get('at', partition.end)) != partition.end:
                return Answer(
                    status=412, body=b'{"end_offset":%d}' % partition.end
                )
            size = int.from_bytes(body[:4], 'big')
            record = body[4 : 4 + size]
            key = record[1 : 1 + record[0]].decode()
            self.put(fields['topic'], key, record[1 + record[0] :])
            return to_json({'offset': partition.end - 1})
        if call == '/-/log-newest':
            return self._list(fields, partition)
        return await self._read(fields, partition)

    def _list(self, fields: dict[str, str], partition: Partition) -> Answer:
        kept = self.newest.get(fields['topic'], {})
        keys = sorted(key for key in kept if key > fields.get('after', ''))
        listed = [
            {
                'key': key,
                'value': base64.b64encode(kept[key]).decode(),
                'offset': partition.find_offset(key),
            }
            for key in keys[: self.page_size]
        ]
        more = len(keys) > self.page_size
        return to_json(
            {'items': listed, 'has_more': more, 'end_offset': partition.end},
        )

    async def _read(
        self,
        fields: dict[str, str],
        partition: Partition,
    ) -> Answer:
        start = int(fields['from'])
        if not partition.first <= start <= partition.end:
            return Answer(status=410, body=b'{"first_offset":1}')
        wait = int(fields.get('wait_timeout_ms', 0)) / 1000
        self._waiting += 1
        try:
            async with asyncio.timeout(wait):
                await self._wait_for_record(partition, start)
        except TimeoutError:
            # An empty page ends the wait.
            wait = 0
        finally:
            self._waiting -= 1
        kept = take_first(
            partition.records[max(start - partition.first, 0) :],
            int(fields.get('max_kb', 1024)) * 1024,
        )
        return Answer(
            status=200,
            body=partition.end.to_bytes(OFFSET_BYTES, 'big')
            + partition.first.to_bytes(OFFSET_BYTES, 'big')
            + b''.join(len(one).to_bytes(4, 'big') + one for one in kept),
        )

    async def _wait_for_record(self, partition: Partition, start: int) -> None:
        while start >= partition.end:
            await self._changed.wait()


def take_first(records: list[bytes], max_bytes: int) -> list[bytes]:
    """Return the first records, up to ``max_bytes`` but at least one."""
    taken = records[:1]
    for record in records[1:]:
        if sum(map(len, taken)) + len(record) > max_bytes:
            break
        taken.append(record)
    return taken


def to_json(document: object) -> Answer:
    return Answer(status=200, body=json.dumps(document).encode())


@asynccontextmanager
async def open_stub() -> AsyncIterator[StubStore]:
    """Yield a store that listens."""
    stub = StubStore()
    await stub.listen()
    try:
        yield stub
    finally:
        stub.close()


def make_announcer(vm: Vm, stub: StubStore) -> Announcer:
    return Announcer(
        daemon=vm.daemon,
        store=Store(address=stub.address, epochs=vm.daemon.core.store_epochs),
        writes_per_s=400,
    )


@asynccontextmanager
async def run_platform_tasks(
    stub: StubStore, vms: Iterable[Vm]
) -> AsyncIterator[None]:
    """Let each daemon read the store and announce itself in it."""
    tasks = []
    for vm in vms:
        epochs = vm.daemon.core.store_epochs
        watch = ConfigurationWatch(
            store=Store(address=stub.address, epochs=epochs),
            loader=ConfigurationLoader(holder=vm.holder),
            rng=make_rng(),
            role=vm.daemon.reader_role,
            epochs=epochs,
        )
        tasks.append(asyncio.create_task(watch.run()))
        announcer = make_announcer(vm, stub)
        tasks.append(asyncio.create_task(announcer.run()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def make_configuration(
    version: int = 12, **changes: object
) -> dict[str, object]:
    """Return a configuration in the platform's format."""
    rule: dict[str, object] = {
        'name': 'r-1',
        'route_type': 'idempotent',
        'target_latency': '200ms',
        'priority': 2,
        'match': {'path_prefix': '/menu/'},
        'action': {'service': 'kitchen', 'timeout': '500ms', 'attempts': 2},
    }
    rule.update(changes)
    return {
        'version': f'r{version}',
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000,
            'header_timeout': '3000ms',
            'idle_timeout': '15s',
        },
        'listeners': [{'host': 'shop.example', 'route_rules': [rule]}],
        'clusters': [{'name': 'kitchen'}, {'name': 'bar'}],
    }
