"""Access to the platform's log and the options that select it."""

import random
from contextlib import AbstractAsyncContextManager
from typing import Annotated

import typer

from goldcrestwharf.log import HttpLog, PlatformSettings, open_log
from goldcrestwharf.publishing import Publisher, PublishingSettings
from goldcrestwharf.replay import Replica
from goldcrestwharf.timers import SystemTimers

DEFAULT_URL = PlatformSettings().url

PlatformOption = Annotated[
    str,
    typer.Option(help="URL of the platform's log."),
]
DaemonOption = Annotated[
    str,
    typer.Option(
        metavar='HOST:PORT',
        help="Go through this daemon's administration API instead.",
    ),
]


def open_platform(url: str) -> AbstractAsyncContextManager[HttpLog]:
    """Return a context manager of a client of the log at ``url``."""
    return open_log(
        cfg=PlatformSettings(url=url),
        timers=SystemTimers(),
        rng=random.Random(),
    )


def make_publisher(log: HttpLog) -> Publisher:
    """Return a publisher that appends to ``log``."""
    return Publisher(
        log=log,
        timers=SystemTimers(),
        rng=random.Random(),
        cfg=PublishingSettings(),
    )


async def read_platform(url: str) -> Replica:
    """Return a replica that has read the log at ``url`` to its end.

    Raises :class:`PlatformUnavailableError`.
    """
    async with open_platform(url) as log:
        return await make_publisher(log).read()
