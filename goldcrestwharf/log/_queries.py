"""Query parameters of a read."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.log._failures import PlatformRequestError

#: Most records in one page.
MAX_PAGE_RECORDS = 1000
#: Longest time that a long poll waits.
MAX_WAIT_MS = 60_000

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ReadQuery:
    """Parameters of a read; ``wait`` is in seconds."""

    offset: int
    limit: int
    wait: float


def parse_read_query(query: Mapping[str, str]) -> ReadQuery:
    """Parse ``query``, capping the page size and the wait.

    Raises :class:`PlatformRequestError` for a value that isn't a number.
    """
    wait_ms = min(_parse_number(query, 'wait_ms', 0), MAX_WAIT_MS)
    limit = _parse_number(query, 'limit', MAX_PAGE_RECORDS)
    return ReadQuery(
        offset=_parse_number(query, 'offset', 0),
        limit=min(max(limit, 1), MAX_PAGE_RECORDS),
        wait=wait_ms / _MS_PER_S,
    )


def _parse_number(query: Mapping[str, str], name: str, default: int) -> int:
    digits = query.get(name, str(default))
    if not (digits.isascii() and digits.isdecimal()):
        raise PlatformRequestError(
            reason=f'{name} is {digits!r}, which is not a whole number',
            remedy=f'give {name} as digits, zero or more',
        )
    return int(digits)
