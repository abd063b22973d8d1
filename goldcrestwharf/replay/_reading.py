"""Plan which records to read next."""

import attrs

from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._settings import ReplaySettings

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ReadPlan:
    """The parameters of a read; ``pause`` and ``wait`` are in seconds."""

    offset: int
    limit: int
    wait: float
    pause: float = 0


def plan_read(
    replica: Replica,
    cfg: ReplaySettings,
    *,
    is_log_verified: bool,
) -> ReadPlan:
    """Return the read to make next.

    Until the log is verified to be the same one, the record before the
    position is read again. A halted replica only polls for the end of the
    log.
    """
    position = replica.cursor.position
    poll = cfg.poll_ms / _MS_PER_S
    if replica.halt_reason:
        return ReadPlan(offset=position, limit=1, wait=0, pause=poll)
    if position > 0 and not is_log_verified:
        return ReadPlan(offset=position - 1, limit=1, wait=0)
    return ReadPlan(offset=position, limit=cfg.page_records, wait=poll)
