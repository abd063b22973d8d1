"""Answers that are kept for daemons that may ask for them again."""

from goldcrestwharf.admission import DispatchLedger, OutcomeMemory
from goldcrestwharf.proxy._outcomes import Lost, Ran, Reply
from goldcrestwharf.proxy._session_context import SessionContext

#: Fraction of the memory of the process that kept answers may take.
_KEPT_FRACTION = 0.0625


def make_ledger(context: SessionContext) -> DispatchLedger[Reply]:
    """Create an empty ledger with the memory for its answers."""
    return DispatchLedger(
        clock=context.clock,
        memory=OutcomeMemory(
            max_bytes=context.memory_bytes * _KEPT_FRACTION,
            find_size=_find_size,
            shorten=_forget_answer,
        ),
    )


def _find_size(reply: Reply) -> int:
    outcome = reply.outcome
    if isinstance(outcome, Ran):
        return len(outcome.head) + len(outcome.body)
    return 0


def _forget_answer(reply: Reply) -> Reply:
    """Return a reply without the answer: the request may have run."""
    lost = Lost(reason='the answer of the request was evicted')
    return Reply(outcome=lost, report=reply.report)
