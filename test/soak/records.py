"""Record requests and runs, and check the guarantees to callers."""

import random
import time
from collections import Counter

import attrs

from test.soak.rollouts import Rollout, make_rollout
from test.soak.workspaces import FIRST_SEED, UNLIMITED, Workspaces

#: Statuses that guarantee that a request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))

#: Part of the paths that crash their targets.
CRASHING = 'crash'

#: Part of the paths with large bodies, and the size of these.
LARGE = 'large'
_LARGE_BYTES = 60_000

#: Share of the requests with large bodies in runs with workspaces.
_LARGE_SHARE = 0.1

#: The platform's bounds: crashes that quarantine a request, seconds after them
#: in which more may come, and how many may come later.
_MAX_CRASHES = 3
_SETTLED_S = 3.0
_MAX_LATE_CRASHES = 3

#: The service of the VMs that all callers run on.
CALLER_SERVICE = 'kitchen'


@attrs.define(kw_only=True)
class SentRequest:
    """A request and the response to it; status 0 means no response."""

    request_id: str
    is_repeatable: bool
    path: str
    status: int = 0
    body: bytes = b''
    has_proof: bool = False
    duration_s: float = 0
    workspace: str = ''
    key: str = ''
    sent_at: float = attrs.field(factory=time.monotonic)

    @property
    def method(self) -> str:
        return 'GET' if self.is_repeatable else 'POST'

    @property
    def request_body(self) -> bytes:
        """The body that the caller sends."""
        if self.is_repeatable:
            return b''
        return pad_if_large(self.path, b'what is ordered')

    def matches(self, run: 'Run') -> bool:
        """Return whether a run has this request's contents and caller."""
        expected = (
            self.method,
            self.path,
            self.request_body,
            CALLER_SERVICE,
            self.workspace,
        )
        return expected == attrs.astuple(run)[1:]


@attrs.define(kw_only=True)
class Run:
    """One run of a request at a target."""

    request_id: str
    method: str
    path: str
    body: bytes
    caller: str
    workspace: str = ''


@attrs.define(kw_only=True)
class Records:
    """Requests, runs and violations of the guarantees in one soak run.

    ``timing_violations`` holds what took longer than guaranteed, which may
    also be due to other load on the machine that runs the tests. Some runs
    have ``workspaces`` and a ``rollout``.
    """

    sent: dict[str, SentRequest] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    timing_violations: list[str] = attrs.field(factory=list)
    crashes: dict[str, list[float]] = attrs.field(factory=dict)
    workspaces: Workspaces | None = None
    rollout: Rollout | None = None

    def record_crash(self, path: str, now: float) -> None:
        """Record that a request crashes its target, and check how often.

        It may do so a few times more, later than the settling time after the
        crash that quarantines it.
        """
        crashes = self.crashes.setdefault(path, [])
        crashes.append(now)
        settled_at = [at + _SETTLED_S for at in crashes[_MAX_CRASHES - 1 :]]
        late = sum(at > settled_at[0] for at in crashes) if settled_at else 0
        if late > _MAX_LATE_CRASHES:
            self.timing_violations.append(f'{late} late crashes by {path}')

    def add_request(
        self,
        version: int,
        *,
        is_repeatable: bool,
        name: str = '',
        is_large: bool = False,
    ) -> SentRequest:
        """Record a new request on the route of a version."""
        request_id = f'r-{len(self.sent)}'
        own_name = f'{LARGE}-{request_id}' if is_large else request_id
        leaf = name or own_name
        self.sent[request_id] = SentRequest(
            request_id=request_id,
            is_repeatable=is_repeatable,
            path=f'/v/{version}/{leaf}',
        )
        return self.sent[request_id]

    def authorize(self, sent: SentRequest, workspace: str = UNLIMITED) -> None:
        """Give a request the key of a workspace, if the run has any."""
        if self.workspaces is not None:
            sent.workspace = workspace
            sent.key = self.workspaces.keys[workspace]

    def is_large(self, rng: random.Random) -> bool:
        """Return whether the next request has a large body."""
        if self.workspaces is None:
            return False
        return rng.random() < _LARGE_SHARE

    def check(self) -> list[str]:
        """Return all violations that don't depend on timing."""
        counts = Counter(run.request_id for run in self.runs)
        for sent in self.sent.values():
            self.violations.extend(
                find_violations(sent, counts[sent.request_id])
            )
        if self.workspaces is not None:
            self.violations.extend(self.workspaces.leaks)
            self.timing_violations.extend(self.workspaces.timing_violations)
        if self.rollout is not None:
            self.violations.extend(self.rollout.list_violations())
            self.timing_violations.extend(self.rollout.list_timing_violations())
        for run in self.runs:
            request = self.sent.get(run.request_id)
            if request is None or not request.matches(run):
                self.violations.append(f'{request} does not match {run}')
        return self.violations


def make_records(seed: int) -> Records:
    """Return the empty records of a run."""
    return Records(
        workspaces=Workspaces() if seed >= FIRST_SEED else None,
        rollout=make_rollout(seed),
    )


def make_answer_body(request_id: str, path: str = '') -> bytes:
    """Return the response body of a target to one request."""
    return pad_if_large(path, f'done {request_id}'.encode())


def pad_if_large(path: str, body: bytes) -> bytes:
    """Return a body, made large if the path asks for it."""
    return body.ljust(_LARGE_BYTES, b'.') if f'/{LARGE}-' in path else body


def find_violations(sent: SentRequest, run_count: int) -> list[str]:
    """Return the violations of one request."""
    answer_body = make_answer_body(sent.request_id, sent.path)
    is_whole = sent.body == answer_body and sent.has_proof
    faults = (
        ('ran twice', run_count > 1 and not sent.is_repeatable),
        (
            'refused but ran',
            sent.status in NOT_EXECUTED_STATUSES
            and run_count
            and not sent.is_repeatable,
        ),
        ('wrong response', sent.status == 200 and not is_whole),
        ('answered without a run', sent.status == 200 and not run_count),
    )
    return [
        f'{name}: {sent}, {run_count} runs'
        for name, is_found in faults
        if is_found
    ]
