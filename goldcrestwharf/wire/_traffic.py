"""Count the bytes of the messages that this process exchanges.

A message counts for the package in its name, such as ``distribution``;
frame headers and heartbeats, 9 bytes each, are not counted.
"""

from collections import Counter

import attrs
from opentelemetry import metrics

#: The package whose messages carry callers' requests, not control traffic.
REQUESTS_PACKAGE = 'hops'

_meter = metrics.get_meter('goldcrestwharf.wire')
_sent_metric = _meter.create_counter('wire.sent', unit='By')
_received_metric = _meter.create_counter('wire.received', unit='By')


@attrs.define(kw_only=True, eq=False)
class Traffic:
    """Bytes sent and received, by package."""

    sent: Counter[str] = attrs.field(factory=Counter)
    received: Counter[str] = attrs.field(factory=Counter)

    def count_sent(self, name: str, size: int) -> None:
        """Count a message of ``size`` bytes that was encoded."""
        package = name.partition('.')[0]
        self.sent[package] += size
        _sent_metric.add(size, {'package': package})

    def count_received(self, name: str, size: int) -> None:
        """Count a message of ``size`` bytes that was decoded."""
        package = name.partition('.')[0]
        self.received[package] += size
        _received_metric.add(size, {'package': package})

    def control_sent(self) -> int:
        """Return the bytes sent, without those of callers' requests."""
        return self.sent.total() - self.sent[REQUESTS_PACKAGE]

    def control_received(self) -> int:
        """Return the bytes received, without those of callers' requests."""
        return self.received.total() - self.received[REQUESTS_PACKAGE]


#: What this process has exchanged since it started.
TRAFFIC = Traffic()
