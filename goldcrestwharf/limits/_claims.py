"""Run a request with an idempotency key at most once."""

import hashlib
import random

from goldcrestwharf.limits._claim_log import ClaimLog
from goldcrestwharf.limits._claim_pending import ClaimVerdict
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
from goldcrestwharf.limits._claim_teller import ClaimTeller
from goldcrestwharf.limits._metrics import count_claim
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log
from goldcrestwharf.timers import Timers

_MS_PER_SECOND = 1000
_CLAIM_ID_BYTES = 8


class Claims:
    """Give each idempotency key to one request, for good.

    Whoever is told :class:`Won` may dispatch while :meth:`may_dispatch`
    holds, and then states the end exactly once by :meth:`finish`. Nobody
    takes a claim over: if its holder dies, the outcome stays unknown.
    """

    def __init__(
        self,
        *,
        log: Log,
        cfg: LimitSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Keep the claims on the platform's ``log``.

        ``rng`` has to differ from daemon to daemon, since it names claims.
        """
        self._claims = ClaimLog(log=log, cfg=cfg, timers=timers)
        self._teller = ClaimTeller(claims=self._claims, cfg=cfg, timers=timers)
        self._cfg = cfg
        self._timers = timers
        self._rng = rng

    async def run(self) -> None:
        """Follow the log and append to it until cancelled."""
        await self._claims.run()

    async def claim(
        self,
        *,
        key: str,
        caller: str,
        fingerprint: str,
    ) -> ClaimResult:
        """Return whether the request with ``key`` may run.

        ``caller`` is the scope of the key, ``fingerprint`` what
        :func:`fingerprint_of` returns for the request.
        """
        record = ClaimRecord(
            claim_id=self._rng.randbytes(_CLAIM_ID_BYTES).hex(),
            key=scope_key(key, caller),
            fingerprint=fingerprint,
        )
        told = await self._decide(record)
        count_claim(told)
        return told

    def may_dispatch(self, won: Won) -> bool:
        """Tell whether the request of a claim may be dispatched still.

        A holder that was paused for long must not dispatch, since the log
        keeps the claim for a limited time only.
        """
        age = (self._timers.now() - won.won_at) * _MS_PER_SECOND
        return age <= self._cfg.claim_dispatch_ms

    def finish(
        self,
        won: Won,
        end: ClaimEnd,
        *,
        answer: bytes = b'',
    ) -> None:
        """State the end of a claim; the log learns it soon.

        ``answer`` is what a repeat gets, if it isn't too large. ``NOT_RUN``
        frees the key and is allowed only if nothing was dispatched, or the
        dispatch was refused as not run.
        """
        is_small = len(answer) <= self._cfg.claim_answer_bytes
        self._claims.write_end(
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
        entry = self._claims.find(record.key)
        if entry is not None:
            return await self._teller.explain(entry, record.fingerprint)
        if not self._claims.is_ready:
            return self._refuse()
        won_at = self._timers.now()
        verdict = await self._claims.compete(record)
        if verdict is ClaimVerdict.WON:
            return Won(record=record, won_at=won_at)
        entry = self._claims.find(record.key)
        if verdict is not ClaimVerdict.LOST or entry is None:
            return self._refuse()
        return await self._teller.explain(entry, record.fingerprint)

    def _refuse(self) -> Unavailable:
        retry_after = self._cfg.claim_timeout_ms / _MS_PER_SECOND
        return Unavailable(retry_after=retry_after)
