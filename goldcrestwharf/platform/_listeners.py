"""Listen where the platform and the target call."""

from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from goldcrestwharf.platform._readiness import Readiness
from goldcrestwharf.platform._settings import PlatformSettings
from goldcrestwharf.proxy import ProxyDaemon


async def open_listeners(
    daemon: ProxyDaemon,
    settings: PlatformSettings,
) -> None:
    """Take heartbeats of the target and questions of the platform."""
    heartbeats = HeartbeatReceiver(daemon=daemon)
    await HttpListener(handler=heartbeats.answer).listen(settings.heartbeats)
    readiness = Readiness(daemon=daemon)
    await HttpListener(handler=readiness.answer).listen(settings.readiness)
