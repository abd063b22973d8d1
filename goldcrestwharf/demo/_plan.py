"""The parameters and the summary of a demo."""

from pathlib import Path

import attrs

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class DemoPlan:
    """The addresses of the daemons, the sets to publish and the load.

    ``requests`` is the number of requests in each round. ``sets_folder`` holds
    the files of the sets.
    """

    local_addresses: tuple[str, ...]
    caller_addresses: tuple[str, ...]
    sets_folder: Path
    requests: int
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class DemoSummary:
    """The result of a demo.

    ``answered`` of the ``sent`` requests got their own answer. ``up_to_date``
    of the ``daemons`` run ``version``; ``convergence_s`` are the seconds from
    the answer to the publish until the last of them ran it. ``control_bytes``
    are all control bytes that the daemons sent meanwhile.
    """

    sent: int
    answered: int
    daemons: int
    up_to_date: int
    version: str
    convergence_s: float
    control_bytes: int

    @property
    def is_successful(self) -> bool:
        """Return whether all requests were answered and no daemon is behind."""
        return self.answered == self.sent and self.up_to_date == self.daemons

    def __str__(self) -> str:
        """Return the summary as one line."""
        convergence_ms = round(self.convergence_s * _MS_PER_S)
        return (
            f'summary: {self.answered} of {self.sent} requests answered, '
            f'{self.up_to_date} of {self.daemons} daemons on version '
            f'{self.version}, in force everywhere after {convergence_ms} ms, '
            f'{self.control_bytes} control bytes for the change'
        )
