"""Open the listeners for the platform and the local target."""

from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from goldcrestwharf.platform._leaving import LeavingWriter
from goldcrestwharf.platform._readiness import Readiness
from goldcrestwharf.platform._settings import PlatformSettings
from goldcrestwharf.platform._store import Store
from goldcrestwharf.proxy import ProxyDaemon


async def open_listeners(
    daemon: ProxyDaemon,
    settings: PlatformSettings,
    store: Store,
) -> None:
    """Listen for heartbeats of the target and for readiness checks.

    ``store`` keeps that the target is leaving; nothing else uses it.
    """
    heartbeats = HeartbeatReceiver(
        daemon=daemon, leaving=LeavingWriter(daemon=daemon, store=store)
    )
    bounds = daemon.core.caller_bounds
    await HttpListener(handler=heartbeats.answer, bounds=bounds).listen(
        settings.heartbeats
    )
    readiness = Readiness(daemon=daemon)
    await HttpListener(handler=readiness.answer, bounds=bounds).listen(
        settings.readiness
    )
