"""Answer the readiness checks of the platform."""

import http

from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy import ProxyDaemon


class Readiness:
    """HTTP handler of readiness checks.

    The daemon is ready while it has a configuration and isn't draining.
    """

    def __init__(self, *, daemon: ProxyDaemon) -> None:
        """Report the readiness of ``daemon``."""
        self._core = daemon.core

    async def answer(self, req: Request) -> Answer:
        """Return status 200 if the daemon is ready, else 503."""
        has_policy = self._core.holder.current is not None
        if has_policy and not self._core.shutdown.has_begun:
            return Answer(status=http.HTTPStatus.OK)
        return Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)
