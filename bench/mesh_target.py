"""Run a target that answers every request with a small body."""

import argparse

import anyio

from goldcrestwharf.servers import HttpServer

_BODY = b'{"menu":["soup","rice"],"slots":4}'
_HEADERS = (
    (b'content-type', b'application/json'),
    (b'content-length', b'%d' % len(_BODY)),
)


async def answer(scope, receive, send):  # type: ignore[no-untyped-def]
    """Serve one ASGI request."""
    if scope['type'] != 'http':
        return
    has_more = True
    while has_more:
        received = await receive()
        has_more = received.get('more_body', False)
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': _HEADERS,
        }
    )
    await send({'type': 'http.response.body', 'body': _BODY})


async def serve(address: str) -> None:
    """Serve on ``address`` until the process is terminated."""
    server = HttpServer(app=answer, address=address)
    async with anyio.create_task_group() as tg:
        print(await tg.start(server.run), flush=True)


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', default='127.0.0.1:0')
    args = parser.parse_args()
    anyio.run(serve, args.address)


if __name__ == '__main__':
    main()
