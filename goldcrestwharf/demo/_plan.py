"""The parameters and the summary of a demo."""

from pathlib import Path

import attrs

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class DemoPlan:
    """The addresses of the daemons, the sets to publish and the load.

    ``requests`` is the number of requests in each round.
    """

    local_addresses: tuple[str, ...]
    caller_addresses: tuple[str, ...]
    sets: Path
    requests: int
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class DemoSummary:
    """The result of a demo.

    ``up_to_date`` is the number of daemons on ``version`` and ``convergence``
    the seconds until the last of them ran it. ``control_bytes`` is what all
    daemons sent for the change.
    """

    sent: int
    answered: int
    daemons: int
    up_to_date: int
    version: str
    convergence: float
    control_bytes: int

    @property
    def is_successful(self) -> bool:
        """Return whether all requests were answered and no daemon is behind."""
        return self.answered == self.sent and self.up_to_date == self.daemons

    def __str__(self) -> str:
        """Return the summary as one line."""
        convergence = round(self.convergence * _MS_PER_S)
        return (
            f'summary: {self.answered} of {self.sent} requests answered, '
            f'{self.up_to_date} of {self.daemons} daemons on version '
            f'{self.version}, in force everywhere after {convergence} ms, '
            f'{self.control_bytes} control bytes for the change'
        )
