"""One attempt of a request at a target."""

import attrs


@attrs.frozen(kw_only=True)
class Attempt:
    """Attempt of a request, for the daemon that runs it on its target.

    ``head`` consists of the request line and the header lines for the
    target, without the empty line at the end. ``left`` and
    ``objective_left`` are in seconds. ``request_class`` is the key of
    statistics of time and size.
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
