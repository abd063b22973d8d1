"""Encode the messages between daemons as msgpack arrays."""

import operator
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgpack

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran, Reply

_MS_PER_S = 1000
_PERMILLE = 1000

_FrameT = TypeVar('_FrameT', bound=type)

_kinds: dict[int, tuple[type, tuple[str, ...]]] = {}
_numbers: dict[type, tuple[int, Callable[[Any], tuple[Any, ...]]]] = {}


def frame(number: int) -> Callable[[_FrameT], _FrameT]:
    """Register a message; its number is never given a new meaning."""

    def decorator(message: _FrameT) -> _FrameT:
        names = tuple(attrs.fields_dict(message))
        _kinds[number] = (message, names)
        _numbers[message] = (number, operator.attrgetter(*names))
        return message

    return decorator


@frame(1)
@attrs.define(kw_only=True)
class Hello:
    """Introduce a daemon; both ends of a stream send one first.

    ``process`` is new at each start. ``known`` lists the daemons that the
    sender knows, and ``version`` is that of its configuration.
    """

    name: str
    process: str
    address: str
    zone: str
    version: int
    known: list[tuple[str, str, str]]

    def record(self) -> DaemonRecord:
        """Return the sender's record."""
        return DaemonRecord(
            name=self.name,
            address=self.address,
            zone=self.zone,
        )


@frame(2)
@attrs.define(kw_only=True)
class Ping:
    """Ask for a sign of life."""

    number: int


@frame(3)
@attrs.define(kw_only=True)
class Pong:
    """Answer a ping with the load of the target and the version in force."""

    number: int
    version: int
    report: list[int]


@frame(4)
@attrs.define(kw_only=True)
class TargetState:
    """Tell of the target beside a daemon; no ``instance_id`` means none.

    ``cold_ms`` is how much longer the target is slow.
    """

    service: str
    instance_id: str
    is_draining: bool
    cold_ms: int
    report: list[int]


@frame(5)
@attrs.define(kw_only=True)
class Run:
    """Ask for one try of a request; times are in milliseconds."""

    number: int
    request_id: str
    kind: str
    service: str
    instance_id: str
    priority: int
    left_ms: int
    objective_ms: int
    is_repeatable: bool
    head: bytes
    body: bytes

    def order(self) -> RunOrder:
        """Return what is asked for."""
        return RunOrder(
            request_id=self.request_id,
            kind=self.kind,
            service=self.service,
            instance_id=self.instance_id,
            priority=self.priority,
            left=self.left_ms / _MS_PER_S,
            objective_left=self.objective_ms / _MS_PER_S,
            is_repeatable=self.is_repeatable,
            head=self.head,
            body=self.body,
        )


@frame(6)
@attrs.define(kw_only=True)
class Answered:
    """Carry the whole answer of a target."""

    number: int
    status: int
    head: bytes
    body: bytes
    report: list[int]


@frame(7)
@attrs.define(kw_only=True)
class NotRun:
    """State that a request did not run and never will."""

    number: int
    reason: str
    retry_after_ms: int
    reached_target: bool
    report: list[int]


@frame(8)
@attrs.define(kw_only=True)
class OutcomeLost:
    """State that a request may have run."""

    number: int
    reason: str
    report: list[int]


@frame(9)
@attrs.define(kw_only=True)
class Cancel:
    """Give up a request whose caller is gone."""

    number: int


@frame(10)
@attrs.define(kw_only=True)
class Inquire:
    """Ask what became of requests that an earlier stream carried."""

    numbers: list[int]


@frame(11)
@attrs.define(kw_only=True)
class Fetch:
    """Ask for the configuration in force if it is newer than ``version``."""

    version: int


@frame(12)
@attrs.define(kw_only=True)
class Document:
    """Carry a configuration as it came from the store."""

    version: int
    content: bytes


def pack(message: object) -> bytes:
    """Return the bytes of a message."""
    number, values_of = _numbers[message.__class__]
    values = values_of(message)
    if not isinstance(values, tuple):
        values = (values,)
    packed: bytes = msgpack.packb((number, *values))
    return packed


def unpack(parts: Any) -> object | None:
    """Return the message of an array, ``None`` for an unknown number.

    Raises :class:`ValueError` for what is no message.
    """
    if not isinstance(parts, list) or not parts:
        raise ValueError('a message is an array that begins with a number')
    known = _kinds.get(parts[0])
    if known is None:
        return None
    message, names = known
    # Fields that a later release added at the end are ignored.
    read: object = message(**dict(zip(names, parts[1:], strict=False)))
    return read


def pack_report(report: LoadReport) -> list[int]:
    """Return a load report as whole numbers."""
    return [
        report.busy,
        report.slots,
        round(report.hold * _MS_PER_S),
        round(report.failure_share * _PERMILLE),
    ]


def read_report(parts: list[int]) -> LoadReport:
    """Return the load report of :func:`pack_report`."""
    busy, slots, hold_ms, failures = parts
    return LoadReport(
        busy=busy,
        slots=slots,
        hold=hold_ms / _MS_PER_S,
        failure_share=failures / _PERMILLE,
    )


def make_run(number: int, order: RunOrder) -> Run:
    """Return the message of an order."""
    return Run(
        number=number,
        request_id=order.request_id,
        kind=order.kind,
        service=order.service,
        instance_id=order.instance_id,
        priority=order.priority,
        left_ms=round(order.left * _MS_PER_S),
        objective_ms=round(order.objective_left * _MS_PER_S),
        is_repeatable=order.is_repeatable,
        head=order.head,
        body=order.body,
    )


def make_reply(
    number: int,
    outcome: Outcome,
    report: LoadReport,
) -> Answered | NotRun | OutcomeLost:
    """Return the message of an outcome."""
    packed = pack_report(report)
    if isinstance(outcome, Ran):
        return Answered(
            number=number,
            status=outcome.status,
            head=outcome.head,
            body=outcome.body,
            report=packed,
        )
    if isinstance(outcome, Lost):
        return OutcomeLost(number=number, reason=outcome.reason, report=packed)
    return NotRun(
        number=number,
        reason=outcome.reason.value,
        retry_after_ms=round(outcome.retry_after * _MS_PER_S),
        reached_target=outcome.reached_target,
        report=packed,
    )


def read_reply(message: Answered | NotRun | OutcomeLost) -> Reply:
    """Return the outcome and the load of a reply."""
    report = read_report(message.report)
    if isinstance(message, Answered):
        outcome: Outcome = Ran(
            status=message.status,
            head=message.head,
            body=message.body,
        )
    elif isinstance(message, OutcomeLost):
        outcome = Lost(reason=message.reason)
    else:
        outcome = Refusal(
            reason=RefusalReason(message.reason),
            retry_after=message.retry_after_ms / _MS_PER_S,
            reached_target=message.reached_target,
        )
    return Reply(outcome=outcome, report=report)
