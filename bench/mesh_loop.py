"""Run a process of a measurement on the event loop that is asked for."""

import random
from collections.abc import Awaitable, Callable

import anyio


def run_with_loop(
    loop: str,
    serve: Callable[..., Awaitable[None]],
    *args: object,
) -> None:
    """Run ``serve`` on ``loop``: asyncio or uvloop."""
    options = {'use_uvloop': loop == 'uvloop'}
    anyio.run(serve, *args, backend_options=options)


def make_rng() -> random.Random:
    """Return a generator that yields the same numbers in every run."""
    return random.Random(1)
