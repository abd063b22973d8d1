"""Account of a workspace: the tokens that its coordinator grants."""

import math

import attrs

#: Seconds ahead for which tokens are promised to refused callers. Short,
#: since promises of a former coordinator add to what the next one grants.
PROMISE_HORIZON_S = 0.5

#: Longest ``Retry-After`` in seconds. Later refusals are spread over the
#: second half of this time.
MAX_RETRY_AFTER_S = 5.0

#: Least depth of a bucket in tokens: one, and some more for the share of the
#: limit. The requests of a small workspace come at random, and the slack of
#: the bound leaves room for them.
_MIN_DEPTH_TOKENS = 1.0
_DEPTH_FROM_SLACK_TOKENS = 5.0

#: Least depth in seconds of the rate, so that entries with much demand can
#: prefetch where there is no burst.
_MIN_DEPTH_S = 0.02

#: Fraction of ``burst`` that one account may store. The accounts before and
#: after a takeover, or on both sides of a partition, share the burst.
_DEPTH_PER_BURST = 0.5

#: Fraction of the stored tokens that one prefetch may take.
_PREFETCH_FRACTION = 0.5

#: Rate in tokens per second that stands for a limit of zero.
_MIN_RATE = 0.001


@attrs.frozen(kw_only=True)
class Limit:
    """Limit of a workspace over all daemons.

    ``rate`` is in requests per second, infinite for no limit, and ``burst``
    in requests.
    """

    rate: float
    burst: float = 0


@attrs.frozen(kw_only=True)
class Allotment:
    """Tokens granted to an entry; times are seconds after the grant.

    The first ``ready`` tokens may be used now, the next one after
    ``first_wait`` (now, if that isn't positive), and each further one
    ``spacing`` later. A token for the first request without one will be there
    after ``retry_after``, for each further one ``spacing`` later.
    """

    tokens: int
    ready: int = 0
    first_wait: float = 0
    spacing: float = 0
    retry_after: float = 0

    def find_wait(self, index: int) -> float:
        """Return the wait of a token, counted from zero."""
        if index < self.ready:
            return 0
        later = index - self.ready
        return max(self.first_wait + later * self.spacing, 0)

    def find_retry_after(self, index: int) -> float:
        """Return the wait of a refused request, counted from zero."""
        return self.retry_after + index * self.spacing


class Account:
    """Token bucket that may be overdrawn by the promised tokens.

    Tokens that come back unused are kept apart and granted first. Behind the
    promised ones they would be promised again to callers who stay away, and
    their number would grow without being limited by the depth.

    Times are monotonic seconds. It starts with ``tokens`` and earns nothing
    before the first :meth:`apply`.
    """

    def __init__(self, *, tokens: float, now: float) -> None:
        """Start at ``now``."""
        self._tokens = tokens
        self._returned = 0
        self._rate: float = 0
        self._depth = max(tokens, 0)
        self._limit: Limit | None = None
        self._counted_at = now
        self._line_ends_at = now

    def apply(self, limit: Limit, share: float, now: float) -> None:
        """Apply the limit, of which this account may grant ``share``."""
        self._refill(now)
        self._rate = max(limit.rate * share, _MIN_RATE)
        self._depth = _find_depth(limit, share)
        self._tokens = min(self._tokens, self._depth)
        if limit != self._limit:
            # Entries drop what was promised under the former limit.
            promised = self._rate * PROMISE_HORIZON_S
            self._tokens = max(self._tokens, -promised)
            self._line_ends_at = now
        self._limit = limit

    def take(self, wanted: int, spare: int, now: float) -> Allotment:
        """Grant tokens for ``wanted`` requests and up to ``spare`` ahead."""
        self._refill(now)
        ready = min(wanted, self._returned)
        self._returned -= ready
        first_wait = (1 - self._tokens) / self._rate
        promised = self._promise(wanted - ready)
        return Allotment(
            tokens=ready + promised + self._prefetch(spare),
            ready=ready,
            first_wait=first_wait,
            spacing=1 / self._rate,
            retry_after=self._line_up(wanted - ready - promised, now),
        )

    def give_back(self, tokens: int, now: float) -> None:
        """Take back tokens that were not used."""
        self._returned += tokens
        self._refill(now)

    def charge(self, tokens: int, now: float) -> None:
        """Subtract tokens that another daemon granted; add negative ones."""
        most = self._rate * MAX_RETRY_AFTER_S
        self._tokens = max(self._tokens - tokens, -most)
        self._refill(now)

    def _promise(self, wanted: int) -> int:
        promisable = self._tokens + self._rate * PROMISE_HORIZON_S
        promised = min(wanted, max(math.floor(promisable), 0))
        self._tokens -= promised
        return promised

    def _prefetch(self, spare: int) -> int:
        stored = max(self._tokens * _PREFETCH_FRACTION, 0)
        prefetched = min(spare, math.floor(stored))
        self._tokens -= prefetched
        return prefetched

    def _line_up(self, refused: int, now: float) -> float:
        """Place refused requests behind all earlier ones.

        Returns the seconds until a token for the first of them, zero if there
        are none.
        """
        if not refused:
            return 0
        spacing = 1 / self._rate
        free_at = now - self._tokens * spacing
        begins_at = max(self._line_ends_at, free_at)
        if begins_at + refused * spacing > now + MAX_RETRY_AFTER_S:
            begins_at = max(now + MAX_RETRY_AFTER_S / 2, free_at)
        self._line_ends_at = begins_at + refused * spacing
        return begins_at + spacing - now

    def _refill(self, now: float) -> None:
        earned = max(now - self._counted_at, 0) * self._rate
        self._tokens = min(self._tokens + earned, self._depth)
        self._counted_at = now
        room = max(self._depth - max(self._tokens, 0), 0)
        self._returned = min(self._returned, math.ceil(room))


def _find_depth(limit: Limit, share: float) -> float:
    return max(
        limit.burst * _DEPTH_PER_BURST * share,
        limit.rate * _MIN_DEPTH_S * share,
        _MIN_DEPTH_TOKENS + _DEPTH_FROM_SLACK_TOKENS * share,
    )
