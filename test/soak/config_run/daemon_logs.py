"""Read the pauses of daemons from their logs."""

import datetime
import json
import time
from collections.abc import Iterator
from pathlib import Path

from test.soak.config_run.contact import Disruption, Scope

_EVENT = 'daemon.stood_still'


def list_pauses(folder: Path, daemon: str) -> Iterator[Disruption]:
    """Yield the times for which a process got no processor time.

    They excuse nothing, as the daemon itself may be the cause; findings name
    them.
    """
    offset = time.time() - time.monotonic()
    for line in (folder / f'{daemon}.log').read_text().splitlines():
        if _EVENT in line:
            event = json.loads(line)
            at = datetime.datetime.fromisoformat(event['time']).timestamp()
            yield Disruption(
                kind='stood_still',
                scope=Scope.NONE,
                daemons=frozenset((daemon,)),
                began_at=at - offset - event['for_s'],
                ended_at=at - offset,
            )
