"""Measure the resource use of the process and print results."""

import json
import resource
import time

import attrs

from goldcrestwharf.wire import TRAFFIC


@attrs.frozen(kw_only=True)
class Usage:
    """The resources that the process has used, and a wall-clock time."""

    sent: int
    processor_s: float
    wall_s: float

    @classmethod
    def now(cls) -> 'Usage':
        """Return the use since the start of the process."""
        rusage = resource.getrusage(resource.RUSAGE_SELF)
        return cls(
            sent=TRAFFIC.control_sent(),
            processor_s=rusage.ru_utime + rusage.ru_stime,
            wall_s=time.perf_counter(),
        )

    def since(self, earlier: 'Usage') -> 'Usage':
        """Return the use since ``earlier``."""
        return Usage(
            sent=self.sent - earlier.sent,
            processor_s=self.processor_s - earlier.processor_s,
            wall_s=self.wall_s - earlier.wall_s,
        )


def report(bench: str, **measurements: object) -> None:
    """Print the results as one JSON line."""
    print(json.dumps({'bench': bench, **measurements}), flush=True)
