"""Limits on the records of one append."""

from collections.abc import Sequence

from goldcrestwharf.log._failures import PlatformRequestError

#: Most records in one append.
MAX_BATCH_RECORDS = 1000
#: Most bytes in one record.
MAX_RECORD_BYTES = 4_194_304


def check_batch(bodies: Sequence[bytes]) -> None:
    """Raise :class:`PlatformRequestError` for a batch over the limits."""
    if not 1 <= len(bodies) <= MAX_BATCH_RECORDS:
        raise PlatformRequestError(
            reason=f'an append of {len(bodies)} records is out of bounds',
            remedy=f'append 1 to {MAX_BATCH_RECORDS} records at once',
        )
    longest = max(len(body) for body in bodies)
    if longest > MAX_RECORD_BYTES:
        raise PlatformRequestError(
            reason=f'a record of {longest} bytes is too large',
            remedy=f'keep records to at most {MAX_RECORD_BYTES} bytes',
        )
