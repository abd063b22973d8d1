"""Share what one daemon forwards at once among callers and services."""

from collections import Counter

import attrs

from goldcrestwharf.limits._metrics import count_refusal
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._settings import LimitSettings

_PERCENT = 100
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Entry:
    """Name whose share a request counts against."""

    caller: str
    service: str


class CallerShares:
    """Bound the requests in flight of each caller and each service.

    Each may hold as much as a fixed multiple of the capacity that is still
    free. One that is alone may use a large part of the daemon, and the more
    of them are busy, the less each gets; some capacity always stays free
    for one that comes new, without knowing how many there are.
    """

    def __init__(self, *, cfg: LimitSettings) -> None:
        """Start without requests in flight."""
        self._cfg = cfg
        self._total = 0
        self._by_caller: Counter[str] = Counter()
        self._by_service: Counter[str] = Counter()

    def enter(self, entry: Entry) -> Refusal | None:
        """Count a request in; return ``None``, or why it may not run now.

        Each entry that was not refused is paired with one :meth:`leave`.
        """
        reason = self._find_full(entry)
        if reason is not None:
            count_refusal(reason)
            wait = self._cfg.share_retry_after_ms / _MS_PER_SECOND
            return Refusal(reason=reason, retry_after=wait)
        self._total += 1
        self._by_caller[entry.caller] += 1
        self._by_service[entry.service] += 1
        return None

    def leave(self, entry: Entry) -> None:
        """Count a request out."""
        self._total -= 1
        _decrement(self._by_caller, entry.caller)
        _decrement(self._by_service, entry.service)

    def _find_full(self, entry: Entry) -> RefusalReason | None:
        free = self._cfg.max_in_flight - self._total
        if free <= 0:
            return RefusalReason.DAEMON_FULL
        of_service = free * self._cfg.service_share_percent / _PERCENT
        if self._by_service[entry.service] >= of_service:
            return RefusalReason.SERVICE_SHARE
        of_caller = free * self._cfg.caller_share_percent / _PERCENT
        if self._by_caller[entry.caller] >= of_caller:
            return RefusalReason.CALLER_SHARE
        return None


def _decrement(counter: Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        counter.pop(name)
