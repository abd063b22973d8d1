"""Orders known to this daemon, the newest of each service."""

from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.rollouts._order import Phase, RolloutState

#: Longest time without a message of the controller, in seconds, in which an
#: entry follows the phase.
MAX_LEASE_S = 2.0

#: Called with the former state of an order, if any, and the new one.
StateWatcher = Callable[[RolloutState | None, RolloutState], None]


class RolloutTable:
    """States of the newest orders by service, and the leases of phases.

    The lease of a phase ends ``lease`` seconds after the last message of the
    controller.
    """

    def __init__(
        self, *, clock: Callable[[], float], lease: float = MAX_LEASE_S
    ) -> None:
        """Start without orders; ``clock`` returns monotonic seconds."""
        self._clock = clock
        self._lease = lease
        self._states: dict[str, RolloutState] = {}
        self._renewed_at: dict[str, float] = {}
        self._past: set[tuple[str, str, int]] = set()
        self._watchers: list[StateWatcher] = []

    def __iter__(self) -> Iterator[RolloutState]:
        """Yield the states of all known orders."""
        return iter(tuple(self._states.values()))

    def watch(self, watcher: StateWatcher) -> None:
        """Call ``watcher`` with each change of a state."""
        self._watchers.append(watcher)

    def find(self, service: str) -> RolloutState | None:
        """Return the state of the newest order of a service."""
        return self._states.get(service)

    def offer(self, state: RolloutState) -> bool:
        """Merge a state; return whether an order or its state is new."""
        known = self._states.get(state.order.service)
        merged = state if known is None else self._merge(known, state)
        self._states[state.order.service] = merged
        if known is not None and _facts(known) == _facts(merged):
            return False
        for watcher in self._watchers:
            watcher(known, merged)
        return True

    def renew_lease(self, state: RolloutState) -> None:
        """Record a message of the controller about an order.

        The order began as early as the controller says, if that is earlier: a
        daemon that has restarted may not know its age.
        """
        service = state.order.service
        known = self._states.get(service)
        if known is not None and known.order.identity == state.order.identity:
            self._renewed_at[service] = self._clock()
            began_at = min(known.began_at, state.began_at)
            self._states[service] = attrs.evolve(known, began_at=began_at)

    def has_lease(self, service: str) -> bool:
        """Return whether the controller was heard recently."""
        renewed_at = self._renewed_at.get(service)
        if renewed_at is None:
            return False
        return self._clock() - renewed_at <= self._lease

    def find_rejected(self, service: str) -> str | None:
        """Return the version that was rolled back, if any."""
        state = self._states.get(service)
        if state is None or state.phase is not Phase.ROLLED_BACK:
            return None
        return state.order.version

    def _merge(self, known: RolloutState, state: RolloutState) -> RolloutState:
        if known.order.identity == state.order.identity:
            return known.merge(state)
        is_later = state.order.revision > known.order.revision
        if is_later and state.order.identity in self._past:
            # A restored store has lost the order that replaced this one.
            order = attrs.evolve(known.order, epoch=state.order.epoch)
            return attrs.evolve(known, order=order)
        if is_later:
            self._past.add(known.order.identity)
            self._renewed_at.pop(state.order.service, None)
            return state
        return known


def _facts(state: RolloutState) -> tuple[object, ...]:
    """Return all of a state but the estimated time of its start."""
    return attrs.astuple(state, filter=attrs.filters.exclude('began_at'))
