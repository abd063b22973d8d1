"""Orders to move a service to another version, and their state."""

import enum

import attrs


class Phase(enum.IntEnum):
    """Phase of a roll-out; a later one replaces an earlier one.

    ``COMPLETED`` ranks last because it is set only once the store has it, and
    the old targets stop then.
    """

    TRIAL = 0
    MOVING = 1
    ROLLED_BACK = 2
    COMPLETED = 3

    @property
    def is_terminal(self) -> bool:
        """Return whether the order has ended."""
        return self >= Phase.ROLLED_BACK

    @property
    def label(self) -> str:
        """Return the name for logs and metrics."""
        return self.name.lower()


class RolloutStatus(enum.StrEnum):
    """Status of an order as shown to the operator."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def phase(self) -> Phase:
        """Return the phase that the status stands for at least."""
        if self is RolloutStatus.RUNNING:
            return Phase.TRIAL
        return Phase[self.name]


@attrs.frozen(kw_only=True)
class RolloutTerms:
    """Bounds on the exposure of a version that isn't proven yet.

    At most ``expose_share`` of the requests for the service plus
    ``expose_slack`` go to it, and none later than ``rollback`` seconds after
    its fiftieth bad answer.
    """

    expose_share: float = 0.1
    expose_slack: float = 50
    rollback: float = 5


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """Order to move ``service`` to ``version`` within ``duration`` seconds.

    ``offset`` is that of its record in the store, and ``epoch`` that of the
    store in which it was read last.
    """

    service: str
    version: str
    duration: float
    offset: int
    epoch: int = 0

    @property
    def identity(self) -> tuple[str, str, int]:
        """Return what tells the order from others, also after a restore."""
        return (self.service, self.version, self.offset)

    @property
    def revision(self) -> tuple[int, int]:
        """Return the rank among the orders of the service."""
        return (self.epoch, self.offset)


@attrs.frozen(kw_only=True)
class RolloutState:
    """State of an order; ``began_at`` is a monotonic time in seconds.

    ``rotation`` selects the targets of the trial. ``has_started`` says that
    a controller has checked that the store has no terminal status of it.
    ``is_written`` says that the store has the terminal status, confirmed in
    the store's epoch ``written_epoch``.
    """

    order: RolloutOrder
    began_at: float
    phase: Phase = Phase.TRIAL
    rotation: int = 0
    has_started: bool = False
    is_written: bool = False
    written_epoch: int = 0

    @property
    def is_settled(self) -> bool:
        """Return whether the order has ended and the store says so."""
        return self.is_written and self.phase.is_terminal

    def merge(self, other: 'RolloutState') -> 'RolloutState':
        """Return the later one of two states of the same order.

        What the store has takes precedence: the platform acts on it. The
        start is that of this state: the other one may rest on the clock of
        another machine.
        """
        leading = max(self, other, key=_rank)
        return attrs.evolve(
            leading,
            order=max(self.order, other.order, key=_find_revision),
            began_at=self.began_at,
            rotation=max(self.rotation, other.rotation),
            has_started=self.has_started or other.has_started,
        )


def _rank(state: RolloutState) -> tuple[bool, int, Phase]:
    return (state.is_settled, state.written_epoch, state.phase)


def _find_revision(order: RolloutOrder) -> tuple[int, int]:
    return order.revision
