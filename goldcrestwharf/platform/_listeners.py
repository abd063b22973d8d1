"""Open the listeners for the platform and the local target."""

from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from goldcrestwharf.platform._readiness import Readiness
from goldcrestwharf.platform._settings import PlatformSettings
from goldcrestwharf.proxy import ProxyDaemon


async def open_listeners(
    daemon: ProxyDaemon,
    settings: PlatformSettings,
) -> None:
    """Listen for heartbeats of the target and for readiness checks."""
    heartbeats = HeartbeatReceiver(daemon=daemon)
    await HttpListener(handler=heartbeats.answer).listen(settings.heartbeats)
    readiness = Readiness(daemon=daemon)
    await HttpListener(handler=readiness.answer).listen(settings.readiness)
