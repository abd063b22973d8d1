"""Conversion of records to and from the bodies of the HTTP API."""

import base64
import binascii
from collections.abc import Sequence

from goldcrestwharf.log._bodies import AppendBody, PageBody, RecordBody
from goldcrestwharf.log._json import malformed_body
from goldcrestwharf.log._log import LogPage, LogRecord


def encode_records(bodies: Sequence[bytes]) -> AppendBody:
    """Return the request that appends ``bodies``."""
    return AppendBody(records=tuple(_to_base64(body) for body in bodies))


def decode_records(request: AppendBody) -> tuple[bytes, ...]:
    """Return the records of an append request."""
    return tuple(_from_base64(record) for record in request.records)


def encode_page(page: LogPage) -> PageBody:
    """Return the answer that carries ``page``."""
    records = tuple(
        RecordBody(offset=record.offset, body=_to_base64(record.body))
        for record in page.records
    )
    return PageBody(
        records=records,
        first_offset=page.first_offset,
        end_offset=page.end_offset,
    )


def decode_page(body: PageBody, *, log_id: str) -> LogPage:
    """Return the page that an answer carries."""
    records = tuple(
        LogRecord(offset=record.offset, body=_from_base64(record.body))
        for record in body.records
    )
    return LogPage(
        records=records,
        first_offset=body.first_offset,
        end_offset=body.end_offset,
        log_id=log_id,
    )


def _to_base64(body: bytes) -> str:
    return base64.b64encode(body).decode('ascii')


def _from_base64(encoded: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise malformed_body('base64') from exc
