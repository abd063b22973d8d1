"""Hold what became of one try of a request."""

import http

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.placement import LoadReport


@attrs.frozen(kw_only=True)
class Ran:
    """Hold the whole answer of a target; ``head`` has its header lines."""

    status: int
    head: bytes
    body: bytes

    @property
    def has_failed(self) -> bool:
        """Tell whether the target says that it failed."""
        return self.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR


@attrs.frozen(kw_only=True)
class Lost:
    """State that the request may have run, and why nobody knows."""

    reason: str


Outcome = Ran | Lost | Refusal


@attrs.frozen(kw_only=True)
class Reply:
    """Join an outcome with the target's load after it."""

    outcome: Outcome
    report: LoadReport | None
