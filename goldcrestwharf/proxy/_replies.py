"""Conversion of attempts, outcomes and loads to messages and back."""

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran, Reply
from goldcrestwharf.proxy._run_messages import (
    Answered,
    NotRun,
    OutcomeLost,
    Run,
)

_MS_PER_S = 1000
_PERMILLE = 1000

#: Messages that carry an outcome.
ReplyMessage = Answered | NotRun | OutcomeLost


def pack_report(report: LoadReport) -> list[int]:
    """Encode a load report as integers."""
    return [
        report.busy,
        report.slots,
        round(report.service_time * _MS_PER_S),
        round(report.failure_share * _PERMILLE),
    ]


def read_report(parts: list[int]) -> LoadReport:
    """Decode the output of :func:`pack_report`."""
    busy, slots, service_time_ms, failures = parts
    return LoadReport(
        busy=busy,
        slots=slots,
        service_time=service_time_ms / _MS_PER_S,
        failure_share=failures / _PERMILLE,
    )


def make_run(number: int, attempt: Attempt) -> Run:
    """Return the message of an attempt."""
    return Run(
        number=number,
        request_id=attempt.request_id,
        request_class=attempt.request_class,
        service=attempt.service,
        instance_id=attempt.instance_id,
        priority=attempt.priority,
        left_ms=round(attempt.left * _MS_PER_S),
        objective_ms=round(attempt.objective_left * _MS_PER_S),
        is_repeatable=attempt.is_repeatable,
        head=attempt.head,
        body=attempt.body,
        workspace=attempt.workspace,
        needs_free_slot=attempt.needs_free_slot,
    )


def make_reply(
    number: int,
    outcome: Outcome,
    report: LoadReport,
) -> ReplyMessage:
    """Return the message of an outcome."""
    packed = pack_report(report)
    if isinstance(outcome, Ran):
        return Answered(
            number=number,
            status=outcome.status,
            head=outcome.head,
            body=outcome.body,
            report=packed,
            is_leaving=outcome.is_leaving,
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


def read_reply(message: ReplyMessage) -> Reply:
    """Return the outcome and the load of a reply message."""
    report = read_report(message.report)
    if isinstance(message, Answered):
        outcome: Outcome = Ran(
            status=message.status,
            head=message.head,
            body=message.body,
            is_leaving=message.is_leaving,
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
