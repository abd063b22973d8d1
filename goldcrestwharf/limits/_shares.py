"""Fair sharing of a daemon's capacity among callers and services."""

from collections import Counter

import attrs

from goldcrestwharf.limits._metrics import count_refusal
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._settings import LimitSettings

_PERCENT = 100
_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ShareKey:
    """The caller and service whose shares a request counts against."""

    caller: str
    service: str


class CallerShares:
    """Limits of the requests in flight per caller and per service.

    Each caller and service may have a fixed multiple of the free capacity
    in flight. A single active one may use a large part of the daemon; the
    more are active, the less each gets. Some capacity always stays free for
    new ones, although their number isn't known in advance.
    """

    def __init__(self, *, cfg: LimitSettings) -> None:
        """Start with no requests in flight."""
        self._cfg = cfg
        self._total = 0
        self._by_caller: Counter[str] = Counter()
        self._by_service: Counter[str] = Counter()

    def acquire(self, key: ShareKey) -> Refusal | None:
        """Count a request as in flight, or return why it is refused.

        Each call that returns ``None`` is paired with one :meth:`release`.
        """
        reason = self._find_exhausted(key)
        if reason is not None:
            count_refusal(reason)
            wait = self._cfg.share_retry_after_ms / _MS_PER_S
            return Refusal(reason=reason, retry_after=wait)
        self._total += 1
        self._by_caller[key.caller] += 1
        self._by_service[key.service] += 1
        return None

    def release(self, key: ShareKey) -> None:
        """Count a request as finished."""
        self._total -= 1
        _decrement(self._by_caller, key.caller)
        _decrement(self._by_service, key.service)

    def _find_exhausted(self, key: ShareKey) -> RefusalReason | None:
        free = self._cfg.max_in_flight - self._total
        if free <= 0:
            return RefusalReason.DAEMON_FULL
        service_limit = free * self._cfg.service_share_percent / _PERCENT
        if self._by_service[key.service] >= service_limit:
            return RefusalReason.SERVICE_SHARE
        caller_limit = free * self._cfg.caller_share_percent / _PERCENT
        if self._by_caller[key.caller] >= caller_limit:
            return RefusalReason.CALLER_SHARE
        return None


def _decrement(counter: Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        counter.pop(name)
