"""Preference of the target on the VM of the entry."""

from collections.abc import Iterable

from goldcrestwharf.placement._choice import Candidate, Choice, Demand

#: Share of failed requests from which on the local target isn't preferred.
_MAX_FAILURE_SHARE = 0.2


def find_local_choice(
    candidates: Iterable[Candidate], daemon: str, demand: Demand, now: float
) -> Choice | None:
    """Return the target beside ``daemon`` if it has a free slot.

    A large body then needs no hop, whose time on the link would exceed most
    differences between targets.
    """
    for candidate in candidates:
        if candidate.daemon == daemon and _is_ready(candidate, demand, now):
            return Choice(
                candidate=candidate,
                expected_wait=candidate.load.expected_wait,
                service_time=candidate.load.service_time,
            )
    return None


def _is_ready(candidate: Candidate, demand: Demand, now: float) -> bool:
    if candidate.daemon in demand.tried or candidate.is_draining:
        return False
    if candidate.slow_start_until > now or candidate.load.expected_wait > 0:
        return False
    return candidate.load.report.failure_share < _MAX_FAILURE_SHARE
