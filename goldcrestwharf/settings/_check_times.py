"""Checks that the timeouts and intervals of streams are consistent."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings


@check
def find_short_silence_timeout(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem if healthy streams would be closed as silent."""
    peers = cfg.peers
    if peers.silence_ms <= peers.heartbeat_ms:
        yield Problem(
            place=SETTINGS.within('peers.silence_ms'),
            reason=(
                f'peers.silence_ms is {peers.silence_ms} ms, not longer than '
                f'peers.heartbeat_ms of {peers.heartbeat_ms} ms'
            ),
            remedy='allow at least two heartbeats, better three',
            related=(SETTINGS.within('peers.heartbeat_ms'),),
        )


@check
def find_backoff_cap_below_base(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem if the waits between attempts would shrink."""
    peers = cfg.peers
    if peers.backoff_cap_ms < peers.backoff_base_ms:
        yield Problem(
            place=SETTINGS.within('peers.backoff_cap_ms'),
            reason=(
                f'peers.backoff_cap_ms is {peers.backoff_cap_ms} ms, less '
                f'than peers.backoff_base_ms of {peers.backoff_base_ms} ms'
            ),
            remedy='make the cap at least as large as the base',
            related=(SETTINGS.within('peers.backoff_base_ms'),),
        )
