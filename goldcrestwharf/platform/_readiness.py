"""Tell the platform whether callers may come."""

import http

from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy import ProxyDaemon


class Readiness:
    """Be ready while a configuration is in force and no stop has begun."""

    def __init__(self, *, daemon: ProxyDaemon) -> None:
        """Speak for ``daemon``."""
        self._core = daemon.core

    async def answer(self, req: Request) -> Answer:
        """Return a success if callers may come."""
        has_policy = self._core.holder.current is not None
        if has_policy and not self._core.shutdown.has_begun:
            return Answer(status=http.HTTPStatus.OK)
        return Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)
