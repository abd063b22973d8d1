"""Links to all other daemons, and the local target."""

import asyncio
from collections.abc import Callable, Iterator

from goldcrestwharf.background import keep_running
from goldcrestwharf.discovery import DaemonRecord, Directory, ReaderClaim
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Candidate, LoadEstimate
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._link import PeerLink
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._liveness import CommonSilence
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._peer_messages import TargetState
from goldcrestwharf.proxy._peer_target import find_slow_start_end
from goldcrestwharf.proxy._replies import read_report

_log = EventLog(__name__)


class Fleet:
    """All targets of the mesh, each through its daemon."""

    def __init__(
        self,
        *,
        directory: Directory,
        local_target: LocalTarget,
        context: LinkContext,
        describe_target: Callable[[], TargetState],
    ) -> None:
        """Create a fleet without links; :meth:`update_links` opens them."""
        self.links: dict[str, PeerLink] = {}
        self.local_name = directory.local.name
        self._directory = directory
        self._local_target = local_target
        self._context = context
        self._describe_target = describe_target
        self._local_load = LoadEstimate()
        self._common_silence = CommonSilence()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def candidates(self, service: str) -> Iterator[Candidate]:
        """Yield the candidates for a request of a service."""
        local = self._local_candidate()
        if local is not None and local.service == service:
            yield local
        for link in self.links.values():
            candidate = link.target.candidate
            if candidate and link.is_up and candidate.service == service:
                candidate.is_suspect = link.liveness.is_suspect
                yield candidate

    def reader_claims(self) -> Iterator[ReaderClaim]:
        """Yield the reader claims of the other daemons of the zone."""
        for link in self.links.values():
            if link.is_local_zone and link.is_up:
                yield link.target.claim(is_suspect=link.liveness.is_suspect)

    async def call(self, daemon: str, attempt: Attempt) -> Reply:
        """Send an attempt to a daemon and return its reply."""
        if daemon == self._directory.local.name:
            return await self._local_target.run(attempt)
        return await self.links[daemon].call(attempt)

    def update_links(self) -> None:
        """Open links to daemons that are new or have a new address.

        Links to daemons that are no longer in the directory are closed.
        """
        known = {record.name for record in self._directory.records()}
        for name in tuple(self.links):
            if name not in known:
                self.remove(name)
        for record in self._directory.records():
            link = self.links.get(record.name)
            if link is None or link.opener.record.address != record.address:
                self._open(record)

    def check(self, now: float) -> None:
        """Check the liveness of all streams and record contacts."""
        for link in self.links.values():
            link.check(now)
            if link.is_up:
                self._directory.record_contact(link.opener.record, now)
        suspects = sum(link.liveness.is_suspect for link in self.links.values())
        if self._common_silence.is_round_due(suspects, now):
            _log.note('peers.silent_together', suspects=suspects)
            for link in self.links.values():
                link.liveness.request_ping()

    def remove(self, name: str) -> None:
        """Close the link to a daemon."""
        task = self._tasks.pop(name, None)
        link = self.links.pop(name, None)
        if task is not None:
            task.cancel()
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()
        for link in self.links.values():
            link.close()

    def _open(self, record: DaemonRecord) -> None:
        self.remove(record.name)
        link = PeerLink(record=record, context=self._context)
        self.links[record.name] = link
        self._tasks[record.name] = asyncio.get_running_loop().create_task(
            keep_running(f'link to {record.name}', link.run),
        )

    def _local_candidate(self) -> Candidate | None:
        state = self._describe_target()
        if not state.instance_id:
            return None
        self._local_load.update(read_report(state.report))
        self._local_load.limit = state.limit
        return Candidate(
            daemon=self._directory.local.name,
            instance_id=state.instance_id,
            service=state.service,
            is_local_zone=True,
            is_draining=state.is_draining,
            slow_start_until=find_slow_start_end(state, self._context.clock()),
            load=self._local_load,
            started_ms=state.started_ms,
            version=state.version,
        )
