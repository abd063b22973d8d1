"""Hold the links to all other daemons, and the own target."""

import asyncio
from collections.abc import Callable, Iterator

from goldcrestwharf.discovery import DaemonRecord, Directory, ReaderClaim
from goldcrestwharf.placement import Candidate, LoadEstimate
from goldcrestwharf.proxy._link import PeerLink
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._owner import Owner
from goldcrestwharf.proxy._peer_messages import TargetState
from goldcrestwharf.proxy._peer_target import find_slow_start_end
from goldcrestwharf.proxy._replies import read_report


class Fleet:
    """Reach the targets of the mesh."""

    def __init__(
        self,
        *,
        directory: Directory,
        owner: Owner,
        context: LinkContext,
        describe_target: Callable[[], TargetState],
    ) -> None:
        """Keep a link to each daemon of ``directory``."""
        self.links: dict[str, PeerLink] = {}
        self._directory = directory
        self._owner = owner
        self._context = context
        self._describe_target = describe_target
        self._local_load = LoadEstimate()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def candidates(self, service: str) -> Iterator[Candidate]:
        """Yield the candidates where a service's requests may run."""
        own = self._local_candidate()
        if own is not None and own.service == service:
            yield own
        for link in self.links.values():
            candidate = link.target.candidate
            if candidate and link.is_up and candidate.service == service:
                yield candidate

    def readers(self) -> Iterator[ReaderClaim]:
        """Yield what the daemons of the zone claim about the store."""
        for link in self.links.values():
            if link.is_local_zone and link.is_up:
                yield link.target.claim()

    async def call(self, daemon: str, order: RunOrder) -> Reply:
        """Return what came of an order at the target of a daemon."""
        if daemon == self._directory.own.name:
            return await self._owner.run(order)
        return await self.links[daemon].call(order)

    def follow(self) -> None:
        """Open links to daemons that are new, or at another address.

        Those to daemons that the directory has dropped are ended.
        """
        known = {record.name for record in self._directory.records()}
        for name in tuple(self.links):
            if name not in known:
                self.drop(name)
        for record in self._directory.records():
            link = self.links.get(record.name)
            if link is None or link.record.address != record.address:
                self._open(record)

    def check(self, now: float) -> None:
        """Ping quiet streams, give up silent ones, and note who lives."""
        for link in self.links.values():
            link.check(now)
            if link.is_up:
                self._directory.note_heard(link.record, now)

    def drop(self, name: str) -> None:
        """End the link to a daemon."""
        task = self._tasks.pop(name, None)
        link = self.links.pop(name, None)
        if task is not None:
            task.cancel()
        if link is not None:
            link.close()

    def close(self) -> None:
        """End all links."""
        for task in self._tasks.values():
            task.cancel()
        for link in self.links.values():
            link.close()

    def _open(self, record: DaemonRecord) -> None:
        self.drop(record.name)
        link = PeerLink(record=record, context=self._context)
        self.links[record.name] = link
        self._tasks[record.name] = asyncio.get_running_loop().create_task(
            link.run(),
        )

    def _local_candidate(self) -> Candidate | None:
        state = self._describe_target()
        if not state.instance_id:
            return None
        self._local_load.update(read_report(state.report))
        return Candidate(
            daemon=self._directory.own.name,
            instance_id=state.instance_id,
            service=state.service,
            is_local_zone=True,
            is_draining=state.is_draining,
            slow_start_until=find_slow_start_end(state, self._context.clock()),
            load=self._local_load,
        )
