"""Bound the records that one append carries."""

from collections.abc import Sequence

from goldcrestwharf.log._failures import PlatformRequestError

#: An append holds at most this many records.
MAX_BATCH_RECORDS = 1000
#: A record holds at most this many bytes.
MAX_RECORD_BYTES = 4_194_304


def check_batch(bodies: Sequence[bytes]) -> None:
    """Raise :class:`PlatformRequestError` for a batch out of bounds."""
    if not 1 <= len(bodies) <= MAX_BATCH_RECORDS:
        raise PlatformRequestError(
            reason=f'an append of {len(bodies)} records is out of bounds',
            remedy=f'append 1 to {MAX_BATCH_RECORDS} records at once',
        )
    longest = max(len(body) for body in bodies)
    if longest > MAX_RECORD_BYTES:
        raise PlatformRequestError(
            reason=f'a record of {longest} bytes is too large',
            remedy=f'keep records under {MAX_RECORD_BYTES} bytes',
        )
