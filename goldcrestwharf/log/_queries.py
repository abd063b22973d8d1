"""Read the query of a request for records."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.log._failures import PlatformRequestError

#: A page holds at most this many records.
MAX_PAGE_RECORDS = 1000
#: A long poll lasts at most this long.
MAX_WAIT_MS = 60_000

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ReadBounds:
    """Hold what a read asks for; ``wait`` is in seconds."""

    offset: int
    limit: int
    wait: float


def read_bounds(query: Mapping[str, str]) -> ReadBounds:
    """Return the bounds in ``query``.

    Raises :class:`PlatformRequestError` for any that is not a number.
    """
    wait_ms = min(_number(query, 'wait_ms', 0), MAX_WAIT_MS)
    limit = _number(query, 'limit', MAX_PAGE_RECORDS)
    return ReadBounds(
        offset=_number(query, 'offset', 0),
        limit=min(max(limit, 1), MAX_PAGE_RECORDS),
        wait=wait_ms / _MS_PER_S,
    )


def _number(query: Mapping[str, str], name: str, default: int) -> int:
    written = query.get(name, str(default))
    if not (written.isascii() and written.isdecimal()):
        raise PlatformRequestError(
            reason=f'{name} is {written!r}, which is not a whole number',
            remedy=f'give {name} as digits, zero or more',
        )
    return int(written)
