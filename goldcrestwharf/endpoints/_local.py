"""Registry of the targets on the local VM and their leases."""

import logging
from collections.abc import Callable, Sequence

import attrs

from goldcrestwharf.endpoints._announcement import Announcement
from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._settings import EndpointSettings
from goldcrestwharf.membership import Target, TargetState
from goldcrestwharf.timers import Timers, subscribe

_MS_PER_S = 1000

#: How often expired leases are looked for during one lease.
_CHECKS_PER_LEASE = 10

_log = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class _Lease:
    """An announcement that is valid until ``ends_at``, in seconds."""

    announcement: Announcement
    ends_at: float
    state: TargetState = TargetState.READY


class LocalTargets:
    """Registry of the targets on the local VM.

    ``publish`` is called with all targets after each change.
    """

    def __init__(
        self,
        *,
        cfg: EndpointSettings,
        timers: Timers,
        publish: Callable[[Sequence[Target]], None],
    ) -> None:
        """Start with no targets."""
        self.lease = cfg.lease_ms / _MS_PER_S
        self._cfg = cfg
        self._timers = timers
        self._publish = publish
        self._leases: dict[str, _Lease] = {}

    def announce(self, announcement: Announcement) -> None:
        """Register a target or renew its lease.

        Raises :class:`AnnouncementError` if another target or team holds the
        name, if the target is leaving or if there are too many targets.
        """
        known = self._leases.get(announcement.name)
        if known is None:
            _check_target_count(len(self._leases), self._cfg.max_targets)
        else:
            _check_renewal(known, announcement, self._timers.now())
        self._leases[announcement.name] = _Lease(
            announcement=announcement,
            ends_at=self._timers.now() + self.lease,
        )
        if known is None or known.announcement != announcement:
            _log.info('target.announced name=%s', announcement.name)
            self._publish(self.targets())

    def leave(self, name: str) -> None:
        """Stop new requests to a target.

        Raises :class:`AnnouncementError` if there is no such target.
        """
        known = self._leases.get(name)
        if known is None:
            raise AnnouncementError(
                kind=RefusalKind.UNKNOWN_TARGET,
                reason=f'no target "{name}" is announced here',
                remedy='check the name; its lease may have expired',
            )
        if known.state is TargetState.READY:
            _log.info('target.leaving name=%s', name)
            known.state = TargetState.LEAVING
            self._publish(self.targets())

    def is_open(self, name: str) -> bool:
        """Return whether a target accepts new requests now."""
        known = self._leases.get(name)
        if known is None or known.state is not TargetState.READY:
            return False
        return known.ends_at > self._timers.now()

    def targets(self) -> Sequence[Target]:
        """Return all targets, including those that are leaving."""
        return tuple(_make_target(one) for one in self._leases.values())

    def expire(self, now: float, *, pause: float) -> None:
        """Remove targets whose lease expired by ``now``.

        A daemon that was paused for ``pause`` seconds couldn't receive
        renewals during that time, so all leases are extended by it.
        """
        for known in self._leases.values():
            known.ends_at += pause
        expired = [
            name for name, one in self._leases.items() if one.ends_at <= now
        ]
        for name in expired:
            _log.warning('target.lapsed name=%s', name)
            self._leases.pop(name)
        if expired:
            self._publish(self.targets())

    async def run(self) -> None:
        """Remove targets as their leases expire, until cancelled."""
        interval = self.lease / _CHECKS_PER_LEASE
        expected = self._timers.now() + interval
        async for now in subscribe(self._timers, period=interval):
            late = now - expected
            self.expire(now, pause=late if late > interval else 0)
            expected = now + interval


def _check_target_count(count: int, limit: int) -> None:
    if count >= limit:
        raise AnnouncementError(
            kind=RefusalKind.TOO_MANY,
            reason=f'{count} targets are announced on this VM',
            remedy='remove another target or raise "max_targets"',
        )


def _check_renewal(known: _Lease, renewal: Announcement, now: float) -> None:
    earlier = known.announcement
    is_same_process = earlier.instance == renewal.instance
    if known.state is TargetState.LEAVING and is_same_process:
        raise AnnouncementError(
            kind=RefusalKind.LEAVING,
            reason=f'target "{renewal.name}" is leaving',
            remedy='announce the next process with another "instance"',
            retry_after=max(known.ends_at - now, 0),
        )
    owner = (earlier.address, earlier.team)
    if owner != (renewal.address, renewal.team):
        raise AnnouncementError(
            kind=RefusalKind.NAME_TAKEN,
            reason=(
                f'the name "{renewal.name}" is held by the target at '
                f'{earlier.address} of team "{earlier.team}"'
            ),
            remedy='choose another name or wait until its lease expires',
            retry_after=max(known.ends_at - now, 0),
        )


def _make_target(lease: _Lease) -> Target:
    announcement = lease.announcement
    return Target(
        name=announcement.name,
        group=announcement.group,
        address=announcement.address,
        slots=announcement.slots,
        state=lease.state,
        cold_start_ms=announcement.cold_start_ms,
    )
