"""Report the versions that superseded a publish."""

from collections.abc import Iterator

from goldcrestwharf.publishing._differences import list_packed_differences
from goldcrestwharf.publishing._outcomes import Superseded, Winner
from goldcrestwharf.replay import Replica, Version


def describe_superseded(replica: Replica, base: Version | None) -> Superseded:
    """Return the outcome with the versions published since ``base``."""
    snapshot = replica.snapshot
    return Superseded(
        base=base,
        current=None if snapshot is None else snapshot.version,
        winners=tuple(_find_winners(replica, base)),
    )


def _find_winners(
    replica: Replica,
    base: Version | None,
) -> Iterator[Winner]:
    for decision in replica.journal.decisions:
        version, change = decision.version, decision.change
        if version is None or change is None:
            continue
        if base is None or version > base:
            yield Winner(
                version=version,
                origin=decision.origin,
                differences=list_packed_differences(change.delta),
            )
