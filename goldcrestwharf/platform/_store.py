"""Client of the platform's metadata store, a log with keyed topics."""

import asyncio
import http
import re
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import attrs

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    connect,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._fields import (
    expect_table,
    get_field,
)
from goldcrestwharf.platform._names import STORE_EPOCH_HEADER
from goldcrestwharf.platform._store_records import (
    KeyedRecord,
    Page,
    decode_items,
    decode_page,
    encode_record,
)
from goldcrestwharf.platform._values import (
    parse_json,
)

_log = EventLog(__name__)

#: Timeout of connecting to the store.
_CONNECT_TIMEOUT_S = 1.0

#: Timeout of a call, in addition to the wait it asks for. The store answers
#: within some milliseconds, and takes up to 60 times that when it is slow.
_ANSWER_TIMEOUT_S = 1.5

#: Epoch as stated by the store, within the integers of messages.
_EPOCH = re.compile(rb'[0-9]{1,18}')

_MS_PER_S = 1000
_KB = 1024

#: The store's own default for the size of a page.
_DEFAULT_READ_BYTES = 1_048_576


@attrs.define(kw_only=True)
class StoreError(Exception):
    """Raised if a call fails.

    ``may_have_run`` is set unless the call certainly had no effect.
    """

    reason: str
    may_have_run: bool


@attrs.define(kw_only=True)
class ConflictError(Exception):
    """Raised if the partition doesn't end where an append requires it."""


@attrs.define(kw_only=True)
class HistoryGoneError(Exception):
    """Raised if the requested records are no longer retained."""


class Store:
    """A client that makes one call at a time on one connection."""

    def __init__(self, *, address: str, epochs: StoreEpochs) -> None:
        """Connect to ``address`` (``host:port``) at the first call.

        The epoch of each answer is recorded in ``epochs``.
        """
        self._address = address
        self._conn: ClientConn | None = None
        self._is_unreachable = False
        self._epochs = epochs

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key.

        The end is that at the first call: what follows it may be missing.
        """
        records: dict[str, KeyedRecord] = {}
        query = {'topic': topic, 'part': '0'}
        end: int | None = None
        while True:
            response = await self._call('GET', 'log-newest', query)
            body = _parse_json(response)
            records.update({one.key: one for one in decode_items(body)})
            end = get_field(body, 'end_offset', int) if end is None else end
            if not (body.get('has_more') and _advance(query, records)):
                return Page(
                    records=tuple(records.values()),
                    end=end,
                    epoch=_find_epoch(response),
                )

    async def read(
        self,
        topic: str,
        *,
        offset: int,
        wait: float,
        max_bytes: int = _DEFAULT_READ_BYTES,
        answer_timeout: float | None = None,
    ) -> Page:
        """Return the records from ``offset`` on; wait if there are none.

        The page is empty if no record is appended within ``wait`` seconds.
        It ends before ``page.end`` if the records exceed ``max_bytes``.
        An answer is expected ``answer_timeout`` seconds after the wait.
        Raises :class:`HistoryGoneError` if the offset is no longer retained.
        """
        query = {
            'topic': topic,
            'part': '0',
            'from': str(offset),
            'max_kb': str(max(max_bytes // _KB, 1)),
            'wait_timeout_ms': str(round(wait * _MS_PER_S)),
        }
        if answer_timeout is None:
            answer_timeout = _ANSWER_TIMEOUT_S
        response = await self._call(
            'GET', 'log-read', query, timeout=wait + answer_timeout
        )
        return decode_page(response.body, offset, _find_epoch(response))

    async def append(
        self, topic: str, record: KeyedRecord, *, at: int | None = None
    ) -> int:
        """Append a record to a keyed topic; return the store's epoch.

        Raises :class:`ConflictError` if ``at`` is given and the partition
        ends at another offset.
        """
        response = await self._call(
            'POST',
            'log-append',
            {'topic': topic, 'part': '0'} | _make_condition(at),
            body=encode_record(record),
        )
        return _find_epoch(response)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        *,
        body: bytes = b'',
        timeout: float | None = None,
    ) -> Response:
        message = (
            f'{method} /-/{call}?{urlencode(query)} HTTP/1.1\r\n'
            f'Host: {self._address}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        try:
            response = await self._exchange(
                message, _ANSWER_TIMEOUT_S if timeout is None else timeout
            )
        except StoreError as exc:
            self._record_failure(call, exc)
            raise
        self._record_epoch(call, response)
        _check_status(response)
        if response.status != http.HTTPStatus.OK:
            refusal = StoreError(
                reason=f'status {response.status}',
                may_have_run=False,
            )
            self._record_failure(call, refusal)
            raise refusal
        if self._is_unreachable:
            self._is_unreachable = False
            _log.note('store.regained', call=call)
        return response

    async def _exchange(self, message: bytes, timeout: float) -> Response:
        conn = await self._connect()
        try:
            async with asyncio.timeout(timeout):
                return await conn.exchange(message)
        except TimeoutError as exc:
            raise StoreError(
                reason='no response in time',
                may_have_run=True,
            ) from exc
        except ExchangeError as exc:
            raise StoreError(reason=exc.reason, may_have_run=True) from exc

    async def _connect(self) -> ClientConn:
        if self._conn is not None and self._conn.is_usable:
            return self._conn
        try:
            self._conn = await connect(
                self._address,
                timeout=_CONNECT_TIMEOUT_S,
            )
        except OSError as exc:
            raise StoreError(
                reason=f'no connection: {exc!r}',
                may_have_run=False,
            ) from exc
        return self._conn

    def _record_epoch(self, call: str, response: Response) -> None:
        epoch = _find_epoch(response)
        before = self._epochs.current
        if epoch > before:
            _log.note('store.epoch', call=call, epoch=epoch, before=before)
        self._epochs.record(epoch, is_direct=True)

    def _record_failure(self, call: str, exc: StoreError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            _log.warning(
                'store.lost',
                call=call,
                cause=exc.reason,
            )


def _advance(query: dict[str, str], records: Mapping[str, object]) -> bool:
    """Ask for what follows the last key; return whether that is new."""
    last_key = next(reversed(tuple(records)), '')
    if query.get('after', '') == last_key:
        return False
    query['after'] = last_key
    return True


def _make_condition(at: int | None) -> dict[str, str]:
    return {} if at is None else {'at': str(at)}


def _check_status(response: Response) -> None:
    """Raise the error for a refusal that says what the store holds."""
    if response.status == http.HTTPStatus.GONE:
        raise HistoryGoneError()
    if response.status == http.HTTPStatus.PRECONDITION_FAILED:
        raise ConflictError()


def _find_epoch(response: Response) -> int:
    """Return the epoch that the store states, zero if it states none."""
    written = response.find(STORE_EPOCH_HEADER) or b''
    return int(written) if _EPOCH.fullmatch(written) else 0


def _parse_json(response: Response) -> Mapping[str, Any]:
    return expect_table(parse_json(response.body), 'the response')
