"""Define the interface of a client for the targets on this VM."""

from typing import Protocol

import attrs

from goldcrestwharf.hops._messages import HeaderFields


@attrs.frozen(kw_only=True)
class TargetRequest:
    """A complete request; ``path`` includes the query.

    ``remaining`` is the time until the deadline in seconds. A repeatable
    request may be sent again on a new connection.
    """

    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    remaining: float
    is_repeatable: bool = False


@attrs.frozen(kw_only=True)
class TargetAnswer:
    """A complete answer whose length was checked."""

    status: int
    headers: HeaderFields
    body: bytes


class TargetClient(Protocol):
    """A client that sends requests to targets."""

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        """Return the answer of the target at ``address`` (``host:port``).

        Raises :class:`NotSentError` if no byte was written and
        :class:`OutcomeUnknownError` if the target may have run the request.
        Cancellation closes the connection.
        """

    async def is_alive(self, address: str) -> bool:
        """Return whether the process at ``address`` seems to run."""

    async def close(self) -> None:
        """Close all idle connections."""
