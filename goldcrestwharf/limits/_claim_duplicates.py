"""Results for duplicates of a request whose key is already claimed."""

from goldcrestwharf.limits._claim_index import ClaimEntry
from goldcrestwharf.limits._claim_log import ClaimLog
from goldcrestwharf.limits._claim_records import ClaimEnd, ClaimEndRecord
from goldcrestwharf.limits._claim_results import (
    AlreadyRan,
    Conflict,
    MayHaveRun,
    Running,
)
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class DuplicateResolver:
    """Maps the claim that holds a key to the result of a duplicate."""

    def __init__(
        self,
        *,
        claims: ClaimLog,
        cfg: LimitSettings,
        timers: Timers,
    ) -> None:
        """Read the recorded answers from ``claims``."""
        self._claims = claims
        self._cfg = cfg
        self._timers = timers

    async def resolve(
        self,
        entry: ClaimEntry,
        fingerprint: str,
    ) -> AlreadyRan | Running | MayHaveRun | Conflict:
        """Return why a request whose key is held by ``entry`` doesn't run."""
        if entry.fingerprint != fingerprint:
            return Conflict()
        if entry.end is ClaimEnd.DONE:
            return await self._read_answer(entry)
        age = (self._timers.now() - entry.read_at) * _MS_PER_S
        is_late = age > self._cfg.claim_running_ms
        if entry.end is ClaimEnd.UNKNOWN or is_late:
            return MayHaveRun()
        return Running()

    async def _read_answer(self, entry: ClaimEntry) -> AlreadyRan:
        record = await self._claims.reader.fetch(entry.offset)
        if not isinstance(record, ClaimEndRecord):
            return AlreadyRan(answer=None, digest='')
        if record.claim_id != entry.claim_id:
            return AlreadyRan(answer=None, digest='')
        return AlreadyRan(answer=record.answer, digest=record.digest)
