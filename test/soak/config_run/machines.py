"""The VMs of a run: daemons, targets of several services, and proxies."""

import asyncio
import os
import random
import time
from pathlib import Path

import attrs

from goldcrestwharf.http1 import Answer, Request
from test.helper import find_ports
from test.soak.config_run.judge import Sent
from test.soak.config_run.links import LinkProxy, Links
from test.soak.config_run.store import FailingStore
from test.soak.config_run.versions import SERVICES
from test.soak.fault_proxy import FaultProxy
from test.soak.records import Records
from test.soak.vm import Ports, Target, Vm

ZONES = ('z-a', 'z-b', 'z-c', 'z-d')

_WORK_S = (0.01, 0.06)
_LOW_BANDWIDTH_MBPS = 10


class ServiceTarget(Target):
    """A target that records which requests it ran."""

    def __init__(
        self,
        *,
        name: str,
        control: str,
        service: str,
        requests: dict[str, Sent],
        rng: random.Random,
    ) -> None:
        super().__init__(
            name=name, records=Records(), control=control, service=service
        )
        self._requests = requests
        self._rng = rng
        self._ran_for = service

    async def _respond(self, req: Request) -> Answer:
        request_id = (req.find(b'request-id') or b'').decode()
        sent = self._requests.get(request_id)
        if sent is not None:
            sent.runs.append((self._ran_for, time.monotonic()))
        await asyncio.sleep(self._rng.uniform(*_WORK_S))
        return Answer(
            status=500 if self.is_failing else 200,
            head=b'Request-Id: %b\r\nResponse-Seal: p\r\n'
            % request_id.encode(),
            body=b'done',
        )


@attrs.frozen(kw_only=True)
class Plan:
    """What the VMs of a run are made of.

    All but the first ``fast`` VMs of a zone have low-bandwidth links.
    """

    folder: Path
    source: Path
    count: int
    store: FailingStore
    links: Links
    requests: dict[str, Sent]
    rng: random.Random
    fast: int

    async def make_vms(self) -> list[Vm]:
        """Return VMs whose daemons are not started yet."""
        names = attrs.fields_dict(Ports)
        ports = Ports(**dict(zip(names, find_ports(len(names)), strict=True)))
        return [
            await self._make_vm(number, ports) for number in range(self.count)
        ]

    async def _make_vm(self, number: int, ports: Ports) -> Vm:
        digits = str(number).zfill(2)
        name = f'vm-{digits}'
        zones = ZONES[: max(min(self.count // 3, len(ZONES)), 1)]
        service = SERVICES[number // len(zones) % len(SERVICES)]
        # Loopback addresses derived from the process id, so that concurrent
        # runs don't connect to each other.
        pid = os.getpid()
        parts = (127, 1 + pid % 250, 1 + pid // 250 % 250, 10 + number)
        host = '.'.join(map(str, parts))
        control, peers = f'{host}:{ports.control}', f'{host}:{ports.peers}'
        target = ServiceTarget(
            name=name,
            control=control,
            service=service,
            requests=self.requests,
            rng=self.rng,
        )
        await target.listen()
        store_proxy = FaultProxy(target=await self.store.listen_for(name))
        peer_proxy = LinkProxy(name=name, target=peers, links=self.links)
        for proxy in (store_proxy, peer_proxy, target.proxy):
            await proxy.listen()
        return Vm(
            name=name,
            zone=zones[number % len(zones)],
            host=host,
            ports=ports,
            folder=self.folder,
            target=target,
            store_proxy=store_proxy,
            peer_proxy=peer_proxy,
            service=service,
            source=self.source,
            link_mbps=(
                _LOW_BANDWIDTH_MBPS
                if number // len(zones) >= self.fast
                else None
            ),
        )
