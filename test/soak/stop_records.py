"""What callers, targets and the operator saw in a run of planned stops."""

import math
from collections.abc import Iterator

import attrs

#: Stands for all VMs in a span.
EVERY_VM = '*'


@attrs.define(kw_only=True, eq=False)
class StopRequest:
    """A caller's request and its answer; times are monotonic, in seconds.

    ``vm`` names the VM whose daemon took it, ``limit`` is the earlier of its
    deadline and its route's timeout, in seconds. Status 0 means that the
    connection ended without a whole answer. The answer has ``answer_bytes`` at
    least. The target of one that ``calls_on`` sends a request of its own
    through its daemon.
    """

    request_id: str
    vm: str
    service: str
    is_repeatable: bool
    limit: float
    work_s: float
    sent_at: float
    ended_at: float = math.inf
    status: int = 0
    has_proof: bool = False
    gave_up: bool = False
    retry_after: float = 0
    answer_bytes: int = 0
    calls_on: bool = False


@attrs.define(kw_only=True, eq=False)
class StopRun:
    """A run of a request at the target of ``vm``.

    ``is_cut`` says that the connection to the target ended before the answer.
    """

    request_id: str
    vm: str
    began_at: float
    ended_at: float = math.inf
    is_cut: bool = False


@attrs.define(kw_only=True, eq=False)
class Span:
    """Time in which a daemon stopped, or a disruption acted on it."""

    vm: str
    began_at: float
    ended_at: float = math.inf
    kind: str = 'stop'


@attrs.define(kw_only=True, eq=False)
class StopRecords:
    """All requests, runs, stops and disruptions of one run.

    Requests sent now take ``extra_work_s`` seconds longer.
    """

    requests: dict[str, StopRequest] = attrs.field(factory=dict)
    runs: dict[str, list[StopRun]] = attrs.field(factory=dict)
    stops: list[Span] = attrs.field(factory=list)
    disruptions: list[Span] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    killed: int = 0
    extra_work_s: float = 0

    def add_run(self, run: StopRun) -> None:
        self.runs.setdefault(run.request_id, []).append(run)

    def find_runs(self, request: StopRequest) -> list[StopRun]:
        return self.runs.get(request.request_id, [])

    def find_stops(
        self, vm: str, began_at: float, ended_at: float, span: float
    ) -> Iterator[Span]:
        """Yield the stops of a VM that overlap a time, each ``span`` s long."""
        for stop in self.stops:
            overlaps = stop.began_at <= ended_at
            if stop.vm == vm and overlaps and began_at <= stop.began_at + span:
                yield stop
