"""Settings of a daemon of the request path."""

import math

import attrs

from goldcrestwharf.discovery import is_low_bandwidth_link
from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.rollouts import RolloutTerms


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Settings of one daemon; addresses are ``host:port``, times in seconds.

    ``callers`` is the address for callers and ``peers`` that for other
    daemons. The local target at ``target`` belongs to ``service`` and sends
    a heartbeat every ``heartbeat_period``. ``advertised_peers`` is announced
    to others in place of ``peers``, for example with port forwarding.
    ``grace_period`` is the time between the stop signal and the kill, and
    ``link_rate`` the bandwidth of the VM's link in bytes per second.
    ``memory_bytes`` is the limit on the memory of the process, and ``max_fds``
    that on its descriptors, ``None`` for that of the system.
    ``rollout`` bounds the exposure of new versions of targets.
    """

    name: str
    zone: str
    callers: str
    peers: str
    target: str
    service: str
    heartbeat_period: float
    drain_timeout: float
    grace_period: float
    budget: RetryBudgetTerms
    link_rate: float = math.inf
    memory_bytes: float = math.inf
    max_fds: int | None = None
    advertised_peers: str = ''
    rollout: RolloutTerms = attrs.field(factory=RolloutTerms)
    names: HeaderNames = attrs.field(factory=HeaderNames)

    @property
    def has_low_bandwidth_link(self) -> bool:
        """Return whether the VM has a low-bandwidth link."""
        return is_low_bandwidth_link(self.link_rate)
