"""Claims that let a request with an idempotency key run at most once."""

import hashlib
import random

from goldcrestwharf.limits._claim_duplicates import DuplicateResolver
from goldcrestwharf.limits._claim_log import ClaimLog
from goldcrestwharf.limits._claim_pending import ClaimOutcome
from goldcrestwharf.limits._claim_records import (
    ClaimEnd,
    ClaimEndRecord,
    ClaimRecord,
    scope_key,
)
from goldcrestwharf.limits._claim_results import (
    ClaimResult,
    Unavailable,
    Won,
)
from goldcrestwharf.limits._metrics import count_claim
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_CLAIM_ID_BYTES = 8


class Claims:
    """Claims of idempotency keys, each granted permanently to one request.

    A caller that receives :class:`Won` may dispatch the request while
    :meth:`may_dispatch` returns true, and must then call :meth:`finish`
    exactly once. Claims are never taken over: if the holder dies, the outcome
    stays unknown.
    """

    def __init__(
        self,
        *,
        log: Log,
        cfg: LimitSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Store the claims in the platform's ``log``.

        ``rng`` generates claim ids and must be seeded differently in each
        daemon.
        """
        self._claim_log = ClaimLog(log=log, cfg=cfg, timers=timers)
        self._duplicates = DuplicateResolver(
            claims=self._claim_log, cfg=cfg, timers=timers
        )
        self._cfg = cfg
        self._timers = timers
        self._rng = rng

    async def run(self) -> None:
        """Read the claim stream and append to it until cancelled."""
        await self._claim_log.run()

    async def claim(
        self,
        *,
        key: str,
        caller: str,
        fingerprint: str,
    ) -> ClaimResult:
        """Return whether the request with ``key`` may run.

        The key is scoped to ``caller``; ``fingerprint`` is the request's
        :func:`fingerprint_of`.
        """
        record = ClaimRecord(
            claim_id=self._rng.randbytes(_CLAIM_ID_BYTES).hex(),
            key=scope_key(key, caller),
            fingerprint=fingerprint,
        )
        claim_result = await self._decide(record)
        count_claim(claim_result)
        return claim_result

    def may_dispatch(self, won: Won) -> bool:
        """Return whether the request of a claim may still be dispatched.

        A holder that was paused for too long must not dispatch, since the
        log retains the claim for a limited time only.
        """
        age = (self._timers.now() - won.won_at) * _MS_PER_S
        return age <= self._cfg.claim_dispatch_ms

    def finish(
        self,
        won: Won,
        end: ClaimEnd,
        *,
        answer: bytes = b'',
    ) -> None:
        """Record the end of a claim; it is appended in the background.

        ``answer`` is returned to duplicates unless it is too large to be
        stored. ``NOT_RUN`` releases the key and is allowed only if nothing
        was dispatched, or the dispatch was refused as not run.
        """
        is_small = len(answer) <= self._cfg.claim_answer_bytes
        self._claim_log.write_end(
            ClaimEndRecord(
                claim_id=won.record.claim_id,
                key=won.record.key,
                fingerprint=won.record.fingerprint,
                end=end,
                answer=answer if is_small else None,
                digest=hashlib.sha256(answer).hexdigest(),
            ),
        )

    async def _decide(self, record: ClaimRecord) -> ClaimResult:
        entry = self._claim_log.find(record.key)
        if entry is not None:
            return await self._duplicates.resolve(entry, record.fingerprint)
        if not self._claim_log.is_ready:
            return self._refuse()
        won_at = self._timers.now()
        outcome = await self._claim_log.append_claim(record)
        if outcome is ClaimOutcome.WON:
            return Won(record=record, won_at=won_at)
        entry = self._claim_log.find(record.key)
        if outcome is not ClaimOutcome.LOST or entry is None:
            return self._refuse()
        return await self._duplicates.resolve(entry, record.fingerprint)

    def _refuse(self) -> Unavailable:
        retry_after = self._cfg.claim_timeout_ms / _MS_PER_S
        return Unavailable(retry_after=retry_after)
