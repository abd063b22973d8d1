"""Hold what a daemon of the request path is told at its start."""

import math

import attrs

from goldcrestwharf.discovery import is_narrow_link
from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.proxy._dialect import HeaderNames


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Configure one daemon; addresses are ``host:port``, times in seconds.

    ``callers`` is where callers send requests and ``peers`` where other
    daemons connect. The own target is the one at ``target`` and belongs to
    ``service``; it repeats its heartbeat each ``heartbeat_period``.
    ``advertised_peers`` is the address that others are told in place of
    ``peers``, as behind a port forwarding.
    ``grace_period`` is the time from a stop's signal to the kill, and
    ``link_rate`` what the VM's link carries, in bytes a second.
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
    advertised_peers: str = ''
    names: HeaderNames = attrs.field(factory=HeaderNames)

    @property
    def has_narrow_link(self) -> bool:
        """Tell whether large messages hold up others on the VM's link."""
        return is_narrow_link(self.link_rate)
