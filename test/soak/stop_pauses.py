"""Pauses of the processes of a run, which no rule holds the daemons to."""

import asyncio
import json
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from test.soak.stop_records import EVERY_VM, Span, StopRecords

_INTERVAL_S = 0.05
_MIN_PAUSE_S = 0.3
PAUSE = 'a pause'


async def watch_own_pauses(records: StopRecords) -> None:
    """Record the pauses of this process, in which no caller can read."""
    checked_at = time.monotonic()
    while True:
        await asyncio.sleep(_INTERVAL_S)
        now = time.monotonic()
        if now - checked_at > _MIN_PAUSE_S:
            records.disruptions.append(
                Span(vm=EVERY_VM, began_at=checked_at, ended_at=now, kind=PAUSE)
            )
        checked_at = now


def read_pauses(folder: Path) -> Iterator[Span]:
    """Yield the pauses that the daemons logged."""
    offset = time.time() - time.monotonic()
    for path in folder.glob('*.log'):
        for line in path.read_text().splitlines():
            if '"daemon.stood_still"' in line:
                fields = json.loads(line)
                logged = datetime.fromisoformat(fields['time'])
                ended_at = logged.timestamp() - offset
                yield Span(
                    vm=path.stem,
                    began_at=ended_at - fields['for_s'],
                    ended_at=ended_at,
                    kind=PAUSE,
                )
