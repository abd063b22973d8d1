"""Instruments and log lines of the limits of workspaces."""

from collections.abc import Callable

from opentelemetry import metrics

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._metrics import BOUNDS_S
from goldcrestwharf.quotas import Reach

_log = EventLog(__name__)

#: Most workspaces with a label of their own.
_MAX_LABELS = 100

#: Label of all other workspaces.
_OTHER = 'other'

#: Least time between two lines about one workspace, in seconds.
_LOG_INTERVAL_S = 1.0

_meter = metrics.get_meter('goldcrestwharf.proxy')
_decisions = _meter.create_counter(
    'proxy.quota.decisions',
    description='requests of workspaces with a limit by decision',
)
_waits = _meter.create_histogram(
    'proxy.quota.wait',
    unit='s',
    description='time that a request waited for its token',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)


class QuotaReport:
    """Report of decisions, with bounded labels and log lines."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without workspaces; ``clock`` returns monotonic seconds."""
        self._clock = clock
        self._labels: set[str] = set()
        self._logged_at: dict[tuple[str, str], float] = {}
        self._refused: dict[str, int] = {}

    def count(self, workspace: str, decision: str, tokens: int = 1) -> None:
        """Count requests or tokens.

        Requests are ``granted``, ``refused`` or ``unanswered``. Tokens are
        ``returned`` by requests that did not run, ``unclaimed`` by callers
        that stayed away, or ``charged`` to a daemon that comes before.
        """
        label = self._find_label(workspace)
        _decisions.add(tokens, {'workspace': label, 'decision': decision})

    def record_wait(self, seconds: float) -> None:
        """Record the time that a request waited for its token."""
        _waits.record(seconds)

    def report_refusal(self, workspace: str, retry_after: float) -> None:
        """Count a refusal; log the first one of each second."""
        self.count(workspace, 'refused')
        refused = self._refused.get(workspace, 0) + 1
        self._refused[workspace] = refused
        if self._is_due('quota.over_limit', workspace):
            self._refused[workspace] = 0
            _log.note(
                'quota.over_limit',
                workspace=workspace,
                refused=refused,
                retry_after_s=round(retry_after, 3),
            )

    def report_takeover(self, workspace: str, reach: Reach) -> None:
        """Log that this daemon coordinates a workspace now."""
        if self._is_due('quota.coordinator', workspace):
            _log.note(
                'quota.coordinator',
                workspace=workspace,
                reached=reach.reached,
                known=reach.known,
            )

    def report_unanswered(self, workspace: str, peer: str) -> None:
        """Log that a coordinator left a request for tokens unanswered."""
        self.count(workspace, 'unanswered')
        if self._is_due('quota.unanswered', workspace):
            _log.note('quota.unanswered', workspace=workspace, peer=peer)

    def _find_label(self, workspace: str) -> str:
        if workspace in self._labels:
            return workspace
        if len(self._labels) >= _MAX_LABELS:
            return _OTHER
        self._labels.add(workspace)
        return workspace

    def _is_due(self, event: str, workspace: str) -> bool:
        now = self._clock()
        last = self._logged_at.get((event, workspace))
        if last is not None and now - last < _LOG_INTERVAL_S:
            return False
        self._logged_at[event, workspace] = now
        return True
