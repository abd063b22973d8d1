"""Record a span for each hop and carry its context to the next.

The context travels as a W3C ``traceparent``. Without an exporter it is
passed on as it came, at no cost.
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
    """Run the block in a span that continues ``traceparent``.

    Yields the ``traceparent`` for the next hop; both may be empty.
    """
    provider = get_tracer_provider()
    if isinstance(provider, ProxyTracerProvider):
        yield traceparent
        return
    parent = _propagator.extract({_FIELD: traceparent}, context=Context())
    tracer = provider.get_tracer('goldcrestwharf.hops')
    with tracer.start_as_current_span(name, context=parent, kind=kind):
        onward: dict[str, str] = {}
        _propagator.inject(onward)
        yield onward.get(_FIELD, '')
