"""Describe one try of a request to the daemon beside a target."""

import attrs


@attrs.frozen(kw_only=True)
class RunOrder:
    """Ask the daemon beside a target to run a request.

    ``head`` has the request line and the header lines that go to the
    target, without the end of the head. ``left`` and ``objective_left`` are
    in seconds. ``request_class`` tells requests of unlike length apart.
    """

    request_id: str
    request_class: str
    service: str
    instance_id: str
    priority: int
    left: float
    objective_left: float
    is_repeatable: bool
    head: bytes
    body: bytes
