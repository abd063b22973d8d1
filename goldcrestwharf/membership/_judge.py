"""Decide what a probe without an answer says."""

import logging

import attrs

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._settings import MembershipSettings

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Times:
    """Hold the times of a probe in seconds, in good health."""

    period: float
    ack_timeout: float

    def rest(self) -> float:
        """Return the time allowed for an answer through others."""
        return max(self.period - self.ack_timeout, self.ack_timeout)

    def whole(self) -> float:
        """Return the time that a probe takes if nobody answers."""
        return self.ack_timeout + self.rest()


def make_times(cfg: MembershipSettings) -> Times:
    """Return the times that ``cfg`` sets."""
    return Times(
        period=cfg.period_ms / _MS_PER_S,
        ack_timeout=cfg.ack_timeout_ms / _MS_PER_S,
    )


class Judge:
    """Suspect silent members, as far as this daemon can be trusted."""

    def __init__(self, *, core: Core, times: Times) -> None:
        """Judge in the name of ``core``."""
        self._core = core
        self._times = times

    def longest_probe(self) -> float:
        """Return the seconds that a probe takes now if nobody answers."""
        health = self._core.membership.known.health
        return self._times.whole() * health.factor()

    def decide(self, silent: Member | None, *, late: float) -> None:
        """Act on a probe, unless this process itself was stopped meanwhile.

        After a pause nobody could have been heard, so what is silent says
        nothing and all suspects get the time of the pause in addition.
        """
        membership = self._core.membership
        if late > self._times.period:
            _log.warning('member.paused late_ms=%d', late * _MS_PER_S)
            membership.known.health.note_pause()
            membership.known.suspicions.extend(late + self._times.period)
        elif silent is None:
            membership.known.health.note_good()
        else:
            self._suspect(silent)

    def _suspect(self, silent: Member) -> None:
        """Suspect a member, silently if nobody at all was heard meanwhile.

        What a daemon says that doesn't hear anybody would only make others
        refute.
        """
        membership = self._core.membership
        membership.known.health.note_bad()
        now = self._core.now()
        membership.suspect(
            silent.vm,
            now,
            is_spread=now - membership.heard_at < self._times.whole(),
        )
