"""Record a span for each hop and propagate its context to the next hop.

The context is propagated as a W3C ``traceparent``. Without an exporter it is
forwarded unchanged, at no cost.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry.context import Context
from opentelemetry.trace import (
    ProxyTracerProvider,
    SpanKind,
    get_tracer_provider,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_FIELD = 'traceparent'

_propagator = TraceContextTextMapPropagator()


@contextmanager
def hop_span(name: str, traceparent: str, kind: SpanKind) -> Iterator[str]:
    """Run the block in a span whose parent is ``traceparent``.

    Yields the ``traceparent`` for the next hop; both may be empty.
    """
    provider = get_tracer_provider()
    if isinstance(provider, ProxyTracerProvider):
        yield traceparent
        return
    parent = _propagator.extract({_FIELD: traceparent}, context=Context())
    tracer = provider.get_tracer('goldcrestwharf.hops')
    with tracer.start_as_current_span(name, context=parent, kind=kind):
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        yield carrier.get(_FIELD, '')
