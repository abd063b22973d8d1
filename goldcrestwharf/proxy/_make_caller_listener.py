"""Construction of the listener for callers."""

from goldcrestwharf.http1 import HttpListener
from goldcrestwharf.proxy._answers import MAX_RETRY_AFTER_S, refuse
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._make_request_handler import make_request_handler


def make_caller_listener(core: Core, fleet: Fleet) -> HttpListener:
    """Create the listener that passes callers' requests to the handler."""
    listener = HttpListener(
        handler=core.target_calls.count(
            make_request_handler(core, fleet).answer
        ),
        limits=lambda: core.holder.limits,
        budget=core.transfers.budget,
        refusal=refuse(retry_after=MAX_RETRY_AFTER_S),
        bounds=core.caller_bounds,
    )
    # Requests that wait behind those that time out have not run.
    core.answer_timeouts.watch_end(listener.refuse_waiting)
    return listener
