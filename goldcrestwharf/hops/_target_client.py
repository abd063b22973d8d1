"""Define how a daemon speaks to the targets on its VM."""

from typing import Protocol

import attrs

from goldcrestwharf.hops._messages import HeaderFields


@attrs.frozen(kw_only=True)
class TargetRequest:
    """Hold a whole request; ``path`` includes the query.

    ``remaining`` is the rest of the deadline in seconds. A repeatable
    request may be sent again on a fresh connection.
    """

    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    remaining: float
    is_repeatable: bool = False


@attrs.frozen(kw_only=True)
class TargetAnswer:
    """Hold a whole answer whose length was checked."""

    status: int
    headers: HeaderFields
    body: bytes


class TargetClient(Protocol):
    """Send whole requests to targets and return whole answers."""

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        """Return the answer of the target at ``address`` (``host:port``).

        Raises :class:`NotSentError` if not one byte was written and
        :class:`OutcomeUnknownError` if the target may have run the request.
        A cancelled call closes its connection.
        """

    async def is_alive(self, address: str) -> bool:
        """Tell whether the process at ``address`` seems to run still."""

    async def close(self) -> None:
        """Close all idle connections."""
