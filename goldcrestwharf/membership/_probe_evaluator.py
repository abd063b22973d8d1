"""Decide what follows from the result of a probe."""

import logging

import attrs

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._settings import MembershipSettings

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ProbeTimes:
    """Timeouts of a probe in seconds, for a local daemon in good health."""

    period: float
    ack_timeout: float

    def indirect_timeout(self) -> float:
        """Return the time allowed for an ack to the indirect probes."""
        return max(self.period - self.ack_timeout, self.ack_timeout)

    def total_timeout(self) -> float:
        """Return the time that a probe takes without an ack."""
        return self.ack_timeout + self.indirect_timeout()


def make_probe_times(cfg: MembershipSettings) -> ProbeTimes:
    """Return the times that ``cfg`` sets."""
    return ProbeTimes(
        period=cfg.period_ms / _MS_PER_S,
        ack_timeout=cfg.ack_timeout_ms / _MS_PER_S,
    )


class ProbeEvaluator:
    """Rule that suspects silent members unless this daemon was paused."""

    def __init__(self, *, core: Core, times: ProbeTimes) -> None:
        """Suspect members in the membership of ``core``."""
        self._core = core
        self._times = times

    def longest_probe(self) -> float:
        """Return the seconds that a probe takes without an ack, at present."""
        health = self._core.membership.state.health
        return self._times.total_timeout() * health.factor()

    def evaluate(self, silent: Member | None, *, late: float) -> None:
        """Suspect ``silent``, unless this process itself was paused.

        ``late`` is how many seconds after its latest expected end the probe
        ended. During a pause no answer could be received, so a missing ack
        is no evidence, and all suspicions are extended by the pause.
        """
        membership = self._core.membership
        if late > self._times.period:
            _log.warning('member.paused late_ms=%d', late * _MS_PER_S)
            membership.state.health.record_pause()
            membership.state.suspicions.extend(late + self._times.period)
        elif silent is None:
            membership.state.health.record_answer()
        else:
            self._suspect(silent)

    def _suspect(self, silent: Member) -> None:
        """Suspect a member; gossip it only if another one was heard lately.

        The suspicions of a daemon that receives no datagrams would only
        cause refutations.
        """
        membership = self._core.membership
        membership.state.health.record_failure()
        now = self._core.now()
        membership.suspect(
            silent.vm,
            now,
            is_spread=now - membership.last_received_at
            < self._times.total_timeout(),
        )
