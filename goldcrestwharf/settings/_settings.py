"""Schema of a daemon's settings."""

import attrs

from goldcrestwharf.distribution import DistributionSettings
from goldcrestwharf.documents import integer, secret, section, text, texts
from goldcrestwharf.endpoints import EndpointSettings
from goldcrestwharf.hops import HopsSettings
from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.membership import MembershipSettings
from goldcrestwharf.peers import PeerSettings
from goldcrestwharf.publishing import PublishingSettings
from goldcrestwharf.replay import ReplaySettings
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.telemetry import LogSettings, TelemetrySettings

_NAME = '[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
_URL = r'https?://([A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\])(:[0-9]{1,5})?/?'
_NAME_DESCRIPTION = 'a name of lower-case letters, digits and inner hyphens'


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Settings of a daemon."""

    vm: str = text(
        summary='name of this VM, unique in the cluster',
        pattern=_NAME,
        form=_NAME_DESCRIPTION,
    )
    zone: str = text(
        summary='availability zone of this VM',
        pattern=_NAME,
        form=_NAME_DESCRIPTION,
    )
    cluster: str = text(
        summary='name of the cluster, the same on all of its VMs',
        pattern=_NAME,
        form=_NAME_DESCRIPTION,
    )
    cluster_key: str = secret(
        summary='secret shared by the daemons of the cluster',
    )
    admin_token: str = secret(
        summary='secret that the administration API requires',
    )
    peer_address: str = text(
        summary='IP number and port, TCP and UDP, for other daemons',
    )
    caller_address: str = text(summary='IP number and port for callers')
    local_address: str = text(
        summary='IP number and port for targets and the administration API',
    )
    platform_url: str = text(
        summary='URL of the platform log',
        pattern=_URL,
        form='a URL of scheme, host and port such as "http://10.0.0.9:7000"',
    )
    seeds: tuple[str, ...] = texts(
        summary='peer addresses of a few other daemons to join',
    )
    drain_timeout_ms: int = integer(
        30_000,
        summary='time for requests in flight to finish at shutdown',
        unit='ms',
        low=0,
        high=600_000,
    )
    log: LogSettings = attrs.field(
        factory=LogSettings,
        metadata=section(LogSettings, summary='logging'),
    )
    telemetry: TelemetrySettings = attrs.field(
        factory=TelemetrySettings,
        metadata=section(TelemetrySettings, summary='metrics and traces'),
    )
    peers: PeerSettings = attrs.field(
        factory=PeerSettings,
        metadata=section(PeerSettings, summary='streams between daemons'),
    )
    membership: MembershipSettings = attrs.field(
        factory=MembershipSettings,
        metadata=section(MembershipSettings, summary='membership of the mesh'),
    )
    endpoints: EndpointSettings = attrs.field(
        factory=EndpointSettings,
        metadata=section(EndpointSettings, summary='announcements of targets'),
    )
    distribution: DistributionSettings = attrs.field(
        factory=DistributionSettings,
        metadata=section(
            DistributionSettings, summary='distribution of configurations'
        ),
    )
    replay: ReplaySettings = attrs.field(
        factory=ReplaySettings,
        metadata=section(ReplaySettings, summary='replay of the log'),
    )
    publishing: PublishingSettings = attrs.field(
        factory=PublishingSettings,
        metadata=section(
            PublishingSettings, summary='publishing through the daemon'
        ),
    )
    hops: HopsSettings = attrs.field(
        factory=HopsSettings,
        metadata=section(HopsSettings, summary='forwarding of requests'),
    )
    limits: LimitSettings = attrs.field(
        factory=LimitSettings,
        metadata=section(LimitSettings, summary='limits of requests'),
    )
    routing: RoutingSettings = attrs.field(
        factory=RoutingSettings,
        metadata=section(RoutingSettings, summary='choice of targets'),
    )
