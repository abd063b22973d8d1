"""One attempt of a request at a target."""

import attrs


@attrs.frozen(kw_only=True)
class Attempt:
    """Attempt of a request, for the daemon that runs it on its target.

    ``head`` consists of the request line and the header lines for the
    target, without the empty line at the end. ``left`` and
    ``objective_left`` are in seconds. ``request_class`` is the key of
    statistics of time and size. ``workspace`` names that of the caller, and
    is empty without one. With ``needs_free_slot`` it is refused rather than
    queued.
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
    workspace: str = ''
    needs_free_slot: bool = False

    def shorten(self, seconds: float) -> 'Attempt':
        """Return the attempt with so much less time left."""
        if not seconds:
            return self
        return attrs.evolve(
            self,
            left=max(self.left - seconds, 0),
            objective_left=max(self.objective_left - seconds, 0),
        )
