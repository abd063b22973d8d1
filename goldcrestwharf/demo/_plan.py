"""Define what a demo drives and what it sums up."""

from pathlib import Path

import attrs

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class DemoPlan:
    """Name the daemons that run, the sets to publish and the load."""

    local: tuple[str, ...]
    callers: tuple[str, ...]
    sets: Path
    requests: int
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class DemoSummary:
    """Sum up a demo; ``convergence`` is in seconds."""

    sent: int
    answered: int
    daemons: int
    current: int
    version: str
    convergence: float
    control_bytes: int

    @property
    def is_whole(self) -> bool:
        """Tell whether nothing was lost and nobody is behind."""
        return self.answered == self.sent and self.current == self.daemons

    def __str__(self) -> str:
        """Return the summary as one line."""
        convergence = round(self.convergence * _MS_PER_S)
        return (
            f'summary: {self.answered} of {self.sent} requests answered, '
            f'{self.current} of {self.daemons} daemons on version '
            f'{self.version}, in force everywhere after {convergence} ms, '
            f'{self.control_bytes} control bytes for the change'
        )
