"""Open client connections, with a timeout that ignores pauses."""

import asyncio

from goldcrestwharf.http1._client_conn import ClientConn

#: Length of the steps in which a timeout is counted.
_STEP_S = 0.05

#: Multiple of its length that a step may take. Beyond it the process was
#: paused, and the step says nothing about the other end.
_MAX_STRETCH = 2.0


async def connect(address: str, *, timeout: float) -> ClientConn:
    """Open a connection to ``host:port`` within ``timeout`` seconds.

    Only time in which the event loop runs counts, so that a pause of this
    process doesn't make a live server look unreachable. Raises
    :class:`OSError`, also on a timeout.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    opening = loop.create_task(
        loop.create_connection(ClientConn, host, int(port)),
    )
    try:
        await _wait_while_running(opening, timeout)
    finally:
        if not opening.done():
            opening.cancel()
    if opening.cancelled() or not opening.done():
        raise TimeoutError(f'no connection to {address} within {timeout} s')
    return opening.result()[1]


async def _wait_while_running(
    opening: 'asyncio.Task[tuple[asyncio.Transport, ClientConn]]',
    timeout: float,
) -> None:
    """Wait for a connection; count only steps without a pause."""
    loop = asyncio.get_running_loop()
    left = timeout
    while left > 0 and not opening.done():
        began_at = loop.time()
        step = min(left, _STEP_S)
        await asyncio.wait((opening,), timeout=step)
        if loop.time() - began_at <= step * _MAX_STRETCH:
            left -= step
