"""Report measurements, and what the process used for them."""

import json
import resource
import time

import attrs

from goldcrestwharf.wire import TRAFFIC


@attrs.frozen(kw_only=True)
class Usage:
    """Hold what the process has used since it started."""

    sent: int
    processor_s: float
    wall_s: float

    @classmethod
    def now(cls) -> 'Usage':
        """Return what has been used so far."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return cls(
            sent=TRAFFIC.control_sent(),
            processor_s=used.ru_utime + used.ru_stime,
            wall_s=time.perf_counter(),
        )

    def since(self, earlier: 'Usage') -> 'Usage':
        """Return what was used from ``earlier`` on."""
        return Usage(
            sent=self.sent - earlier.sent,
            processor_s=self.processor_s - earlier.processor_s,
            wall_s=self.wall_s - earlier.wall_s,
        )


def report(bench: str, **figures: object) -> None:
    """Print one JSON line."""
    print(json.dumps({'bench': bench, **figures}), flush=True)
