"""Decide on the targets of this VM: names, leases and leaving."""

import logging
from collections.abc import Callable, Sequence

import attrs

from goldcrestwharf.endpoints._announcement import Announcement
from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._settings import EndpointSettings
from goldcrestwharf.membership import Target, TargetState
from goldcrestwharf.timers import Timers, subscribe

_MS_PER_S = 1000

#: Checks for lapsed leases during one lease.
_CHECKS_PER_LEASE = 10

_log = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class _Lease:
    """Hold an announcement until ``ends_at``, in seconds."""

    announcement: Announcement
    ends_at: float
    state: TargetState = TargetState.READY


class LocalTargets:
    """Be the authority on the targets of this VM.

    ``publish`` is called with all targets after each change.
    """

    def __init__(
        self,
        *,
        cfg: EndpointSettings,
        timers: Timers,
        publish: Callable[[Sequence[Target]], None],
    ) -> None:
        """Start without any target."""
        self.lease = cfg.lease_ms / _MS_PER_S
        self._cfg = cfg
        self._timers = timers
        self._publish = publish
        self._leases: dict[str, _Lease] = {}

    def announce(self, announcement: Announcement) -> None:
        """Take a target in or renew its lease.

        Raises :class:`AnnouncementError` if the name is held by another
        target or team, if the target is leaving or if there are too many.
        """
        known = self._leases.get(announcement.name)
        if known is None:
            _check_room(len(self._leases), self._cfg.max_targets)
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
        """Refuse new work for a target from now on.

        Raises :class:`AnnouncementError` if there is no such target.
        """
        known = self._leases.get(name)
        if known is None:
            raise AnnouncementError(
                kind=RefusalKind.UNKNOWN_TARGET,
                reason=f'no target "{name}" is announced here',
                remedy='check the name; its lease may have lapsed',
            )
        if known.state is TargetState.READY:
            _log.info('target.leaving name=%s', name)
            known.state = TargetState.LEAVING
            self._publish(self.targets())

    def is_open(self, name: str) -> bool:
        """Tell whether a target takes new work at this moment."""
        known = self._leases.get(name)
        if known is None or known.state is not TargetState.READY:
            return False
        return known.ends_at > self._timers.now()

    def targets(self) -> Sequence[Target]:
        """Return all targets, those that leave included."""
        return tuple(_make_target(one) for one in self._leases.values())

    def expire(self, now: float, *, late: float) -> None:
        """Take targets out whose lease lapsed by ``now``.

        A daemon that was stopped for ``late`` seconds could not hear any
        renewal in that time, so all leases are prolonged by it.
        """
        for known in self._leases.values():
            known.ends_at += late
        lapsed = [
            name for name, one in self._leases.items() if one.ends_at <= now
        ]
        for name in lapsed:
            _log.warning('target.lapsed name=%s', name)
            self._leases.pop(name)
        if lapsed:
            self._publish(self.targets())

    async def run(self) -> None:
        """Take targets out as their leases lapse, until cancelled."""
        period = self.lease / _CHECKS_PER_LEASE
        expected = self._timers.now() + period
        async for now in subscribe(self._timers, period=period):
            late = now - expected
            self.expire(now, late=late if late > period else 0)
            expected = now + period


def _check_room(count: int, bound: int) -> None:
    if count >= bound:
        raise AnnouncementError(
            kind=RefusalKind.TOO_MANY,
            reason=f'{count} targets are announced on this VM',
            remedy='let another one leave or raise "max_targets"',
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
    owners = (earlier.address, earlier.team)
    if owners != (renewal.address, renewal.team):
        raise AnnouncementError(
            kind=RefusalKind.NAME_TAKEN,
            reason=(
                f'the name "{renewal.name}" is held by the target at '
                f'{earlier.address} of team "{earlier.team}"'
            ),
            remedy='choose another name or wait until its lease lapses',
            retry_after=max(known.ends_at - now, 0),
        )


def _make_target(lease: _Lease) -> Target:
    announced = lease.announcement
    return Target(
        name=announced.name,
        group=announced.group,
        address=announced.address,
        slots=announced.slots,
        state=lease.state,
        cold_start_ms=announced.cold_start_ms,
    )
