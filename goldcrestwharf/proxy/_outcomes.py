"""Outcomes of one attempt of a request."""

import http

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.placement import LoadReport


@attrs.frozen(kw_only=True)
class Ran:
    """Complete answer of a target; ``head`` contains its header lines.

    ``is_leaving`` is set if the target says that it will stop.
    """

    status: int
    head: bytes
    body: bytes
    is_leaving: bool = False

    @property
    def has_failed(self) -> bool:
        """Return whether the target answered with a server error."""
        return self.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR


@attrs.frozen(kw_only=True)
class Lost:
    """Unknown outcome: the request may have run; ``reason`` says why.

    ``is_broken`` is set if the connection to the target broke.
    """

    reason: str
    is_broken: bool = False


Outcome = Ran | Lost | Refusal


@attrs.frozen(kw_only=True)
class Reply:
    """Outcome of an attempt, and the load of the target after it."""

    outcome: Outcome
    report: LoadReport | None
