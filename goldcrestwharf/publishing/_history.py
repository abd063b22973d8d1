"""List the publishes of the log for display."""

import attrs

from goldcrestwharf.publishing._differences import list_packed_differences
from goldcrestwharf.replay import Decision, Replica


@attrs.frozen(kw_only=True)
class HistoryEntry:
    """One publish in the log.

    ``version`` is empty if it was refused, and ``refusal`` if it was
    accepted; ``differences`` holds a line for each object that it changed.
    """

    offset: int
    version: str
    id: str
    author: str
    note: str
    published_at: str
    differences: tuple[str, ...] = ()
    refusal: str = ''
    details: tuple[str, ...] = ()


def list_history(replica: Replica) -> tuple[HistoryEntry, ...]:
    """Return the publishes that ``replica`` has evaluated, in log order."""
    return tuple(_describe(each) for each in replica.journal.decisions)


def _describe(decision: Decision) -> HistoryEntry:
    entry = HistoryEntry(
        offset=decision.offset,
        version=str(decision.version or ''),
        id=decision.id,
        author=decision.origin.author,
        note=decision.origin.note,
        published_at=decision.origin.published_at,
    )
    if decision.change is not None:
        found = list_packed_differences(decision.change.delta)
        lines = tuple(str(each) for each in found)
        return attrs.evolve(entry, differences=lines)
    if decision.refusal is not None:
        return attrs.evolve(
            entry,
            refusal=decision.refusal.reason.value,
            details=decision.refusal.details,
        )
    return entry
