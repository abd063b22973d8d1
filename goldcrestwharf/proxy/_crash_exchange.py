"""Exchange of crash reports between daemons.

The daemon beside a target that crashes reports the requests in progress to
all others. A daemon that connects gets all reports, so they outlive the
daemon that made them.
"""

import random
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._crash_messages import CrashReports, pack_reports
from goldcrestwharf.proxy._fingerprint import fingerprints_of_head
from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.quarantine import CrashGuard, drop_caller

_log = EventLog(__name__)


@attrs.frozen(kw_only=True)
class CrashTerms:
    """When a request is quarantined, and for how long.

    The fields are those of ``QuarantineSettings``. A request that is retried
    meets two targets that end at the same time for another reason; a third
    one is no coincidence.
    """

    crash_deaths: int = 3
    crash_memory_ms: int = 600_000
    crash_doubt_ms: int = 30_000
    crash_settle_ms: int = 5000
    crash_verdict_ms: int = 1_800_000
    crash_table_size: int = 4096


class CrashExchange:
    """Crash reports of this daemon and of all others.

    Requests are identified by their head and body, as sent to targets. Each
    is counted twice: for all callers together, and for its own caller. So it
    is recognized whoever sends it, and an answer to one caller doesn't clear
    another one.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without reports; :meth:`watch` sets who is informed."""
        self._names = names.lower()
        self._guard = CrashGuard(cfg=CrashTerms(), clock=clock, rng=rng)
        self._send: Callable[[CrashReports], None] = _drop

    def watch(self, send: Callable[[CrashReports], None]) -> None:
        """Pass new reports of this daemon to ``send``."""
        self._send = send

    def find_fingerprints(self, head: bytes, body: bytes) -> tuple[str, str]:
        """Return the fingerprint of a request, and that for its caller."""
        return fingerprints_of_head(head, body, self._names)

    def find_refusal(self, head: bytes, body: bytes) -> Refusal | None:
        """Return the refusal of a request that is quarantined."""
        if not self._guard.has_suspects:
            return None
        fingerprints = self.find_fingerprints(head, body)
        return _make_refusal(max(map(self._guard.find_wait, fingerprints)))

    def admit(self, head: bytes, body: bytes) -> Refusal | None:
        """Return the refusal of a request that the local target may not run.

        A request that may run after its quarantine is refused elsewhere until
        its outcome is known.
        """
        if not self._guard.has_suspects:
            return None
        fingerprints = self.find_fingerprints(head, body)
        wait = max(map(self._guard.find_trial_wait, fingerprints))
        if not wait and any(
            [self._guard.begin_trial(one) for one in fingerprints]
        ):
            _metrics.count_crash('tried')
            _log.note('crash.tried', fingerprint=fingerprints[0])
            self._publish()
        return _make_refusal(wait)

    def record_crash(self, instance: str, fingerprints: frozenset[str]) -> None:
        """Report a crash of the local target."""
        _metrics.count_crash('crashed')
        requests = set(map(drop_caller, fingerprints))
        _log.warning(
            'target.crashed',
            instance=instance,
            in_flight=len(requests),
            fingerprints=sorted(requests),
        )
        self._guard.record_death(fingerprints)
        self._publish()

    def record_completion(self, head: bytes, body: bytes) -> None:
        """Clear a request that the local target answered."""
        if not self._guard.has_suspects:
            return
        fingerprints = self.find_fingerprints(head, body)
        if any([self._guard.record_completion(one) for one in fingerprints]):
            _metrics.count_crash('cleared')
            _log.note('crash.cleared', fingerprint=fingerprints[0])
        self._publish()

    def receive(self, received: CrashReports) -> None:
        """Merge the reports of another daemon."""
        for report in received.unpack():
            has_changed = self._guard.merge(report)
            # A crash under load reports many requests, of which few come again.
            if has_changed and len(report.deaths) > 1:
                _log.note(
                    'crash.reported',
                    fingerprint=report.fingerprint,
                    deaths=len(report.deaths),
                    refused_ms=report.refused_ms,
                )
        # Their daemon has informed the others.
        self._guard.table.take_updates()

    def make_reports(self) -> CrashReports | None:
        """Return all current reports, if there are any."""
        reports = self._guard.table.reports()
        return pack_reports(reports) if reports else None

    def _publish(self) -> None:
        updates = self._guard.table.take_updates()
        if updates:
            self._send(pack_reports(updates))


def _make_refusal(wait: float) -> Refusal | None:
    if not wait:
        return None
    return Refusal(reason=RefusalReason.CRASHES_TARGETS, retry_after=wait)


def _drop(_: CrashReports) -> None:
    """Inform nobody."""
