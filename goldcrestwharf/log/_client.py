"""HTTP client of the platform's log."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import TypeVar

import httpx

from goldcrestwharf.errors import PlatformUnavailableError, WireFormatError
from goldcrestwharf.log._answers import check_answer, retry_after
from goldcrestwharf.log._batches import check_batch
from goldcrestwharf.log._bodies import (
    LOG_ID_HEADER,
    AppendAnswer,
    PageBody,
)
from goldcrestwharf.log._failures import (
    busy_error,
    effect_unknown_error,
    no_effect_error,
)
from goldcrestwharf.log._json import dump_body, load_body
from goldcrestwharf.log._log import LogPage
from goldcrestwharf.log._metrics import count_exchange
from goldcrestwharf.log._records import decode_page, encode_records
from goldcrestwharf.log._settings import PlatformSettings
from goldcrestwharf.timers import Backoff, Timers

_AnswerT = TypeVar('_AnswerT')

_MS_PER_S = 1000

#: Errors raised before the first byte of a request is written.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class HttpLog:
    """Client of the platform's log over HTTP."""

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        timers: Timers,
        rng: random.Random,
        cfg: PlatformSettings,
    ) -> None:
        """Send requests through ``client``, whose base URL is the log's."""
        self._client = client
        self._timers = timers
        self._rng = rng
        self._cfg = cfg

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step and return the first one's offset.

        Only an answer of 429 is retried: any other failure may have taken
        effect, and the caller has to decide.
        """
        check_batch(bodies)
        request = self._client.build_request(
            'POST',
            _path(stream),
            content=dump_body(encode_records(bodies)),
        )
        answer = await self._send(request, wait=0)
        return _load_answer(answer, AppendAnswer).offset

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        limit: int,
        wait: float,
    ) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on."""
        request = self._client.build_request(
            'GET',
            _path(stream),
            params={
                'offset': offset,
                'limit': limit,
                'wait_ms': round(wait * _MS_PER_S),
            },
        )
        answer = await self._send(request, wait=wait)
        return decode_page(
            _load_answer(answer, PageBody),
            log_id=answer.headers.get(LOG_ID_HEADER, ''),
        )

    async def _send(
        self,
        request: httpx.Request,
        *,
        wait: float,
    ) -> httpx.Response:
        backoff = self._make_backoff()
        attempts_left = self._cfg.max_tries
        while True:
            answer = await self._attempt(request, wait)
            if answer.status_code != httpx.codes.TOO_MANY_REQUESTS:
                check_answer(answer)
                return answer
            attempts_left -= 1
            delay = backoff.record_failure(self._timers.now())
            delay = max(delay, retry_after(answer))
            if attempts_left <= 0:
                raise busy_error(delay)
            await self._timers.sleep(delay)

    async def _attempt(
        self,
        request: httpx.Request,
        wait: float,
    ) -> httpx.Response:
        timeout = wait + self._cfg.request_timeout_ms / _MS_PER_S
        answer: httpx.Response | None = None
        with self._timers.limit(timeout):
            answer = await self._exchange(request)
        if answer is None:
            raise effect_unknown_error(
                f'no answer of the platform log in {timeout:.1f} s'
            )
        return answer

    async def _exchange(self, request: httpx.Request) -> httpx.Response:
        try:
            answer = await self._client.send(request)
        except _NOT_SENT_ERRORS as exc:
            url = self._cfg.url
            raise no_effect_error(f'no connection to {url}: {exc}') from exc
        except httpx.HTTPError as exc:
            kind = type(exc).__name__
            raise effect_unknown_error(
                f'lost the platform log: {kind} {exc}'
            ) from exc
        count_exchange(answer)
        return answer

    def _make_backoff(self) -> Backoff:
        return Backoff(
            base=self._cfg.backoff_base_ms / _MS_PER_S,
            cap=self._cfg.backoff_cap_ms / _MS_PER_S,
            rng=self._rng,
        )


@asynccontextmanager
async def open_log(
    *,
    cfg: PlatformSettings,
    timers: Timers,
    rng: random.Random,
) -> AsyncIterator[HttpLog]:
    """Yield a client of the log at the URL in ``cfg``."""
    timeout = httpx.Timeout(None, connect=cfg.connect_timeout_ms / _MS_PER_S)
    async with httpx.AsyncClient(
        base_url=cfg.url,
        timeout=timeout,
        trust_env=False,
    ) as client:
        yield HttpLog(client=client, timers=timers, rng=rng, cfg=cfg)


def _path(stream: str) -> str:
    return f'/v1/streams/{stream}/records'


def _load_answer(
    answer: httpx.Response,
    answer_type: type[_AnswerT],
) -> _AnswerT:
    try:
        return load_body(answer.content, answer_type)
    except WireFormatError as exc:
        raise _malformed_answer(exc) from exc


def _malformed_answer(exc: WireFormatError) -> PlatformUnavailableError:
    return effect_unknown_error(
        f'the platform log gave an unusable answer: {exc.reason}'
    )
