"""State of the target of one other daemon."""

import math
from collections.abc import Callable

from goldcrestwharf.discovery import (
    DaemonRecord,
    Departures,
    ReaderClaim,
    is_low_bandwidth_link,
)
from goldcrestwharf.placement import Candidate, LoadEstimate
from goldcrestwharf.proxy._departing import record_departure
from goldcrestwharf.proxy._document_messages import VersionUpdate
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._peer_messages import (
    Hello,
    Pong,
    TargetHint,
    TargetState,
)
from goldcrestwharf.proxy._replies import read_report

_MS_PER_S = 1000


class PeerTarget:
    """Target, configuration version and link of another daemon."""

    def __init__(
        self,
        *,
        record: DaemonRecord,
        local_zone: str,
        clock: Callable[[], float],
        departures: Departures,
    ) -> None:
        """Start without a target; record its leaving in ``departures``."""
        self.load = LoadEstimate()
        self.candidate: Candidate | None = None
        self.version = 0
        self.reads_store = False
        self.store_epoch = 0
        self.features = 0
        self._last_state: TargetState | None = None
        self._link_rate: float = math.inf
        self._daemon = record.name
        self._is_local_zone = record.zone == local_zone
        self._clock = clock
        self._departures = departures

    def update(self, message: object) -> None:
        """Apply a message about the target or the version."""
        if isinstance(message, Pong | TargetState):
            self.load.update(read_report(message.report))
        if isinstance(message, Pong | VersionUpdate | Hello):
            self._update_configuration(message)
        if isinstance(message, TargetState):
            self._update_target(message)

    def supports(self, feature: PeerFeature) -> bool:
        """Return whether the daemon supports an optional exchange."""
        return bool(self.features & feature)

    @property
    def has_low_bandwidth_link(self) -> bool:
        """Return whether the daemon has a low-bandwidth link."""
        return is_low_bandwidth_link(self._link_rate)

    def claim(self, *, is_suspect: bool) -> ReaderClaim:
        """Return the reader claim; its stream may be silent if suspect."""
        return ReaderClaim(
            name=self._daemon,
            link_rate=self._link_rate,
            reads=self.reads_store,
            is_suspect=is_suspect,
        )

    def make_hint(self) -> TargetHint | None:
        """Return what the daemon should know after a restart, if anything."""
        state = self._last_state
        if state is None:
            return None
        process = (state.instance_id, state.started_ms)
        is_leaving = process in self._departures
        if state.limit is None and not is_leaving:
            return None
        return TargetHint(
            instance_id=state.instance_id,
            started_ms=state.started_ms,
            limit=state.limit,
            is_leaving=is_leaving,
        )

    def _update_configuration(
        self, message: Hello | Pong | VersionUpdate
    ) -> None:
        self.version = message.version
        self.reads_store = message.reads_store
        self.store_epoch = message.store_epoch
        if isinstance(message, Hello):
            self._link_rate = message.link_rate or math.inf
            self.features = message.features

    def _update_target(self, state: TargetState) -> None:
        self.candidate = None
        self.load.limit = state.limit
        if state.instance_id:
            self._last_state = state
            self.candidate = Candidate(
                daemon=self._daemon,
                instance_id=state.instance_id,
                service=state.service,
                is_local_zone=self._is_local_zone,
                is_draining=state.is_draining,
                slow_start_until=find_slow_start_end(state, self._clock()),
                load=self.load,
                started_ms=state.started_ms,
                version=state.version,
            )
            if state.is_leaving:
                record_departure(self.candidate, self._departures)


def find_slow_start_end(state: TargetState, now: float) -> float:
    """Return the end of a target's slow start, zero if there is none."""
    return now + state.slow_start_ms / _MS_PER_S if state.slow_start_ms else 0
