"""Exchange of hellos and of known peers between daemons."""

import math

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._features import ALL_FEATURES
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._peer_messages import (
    Hello,
    KnownPeers,
    KnownPeersRequest,
)

_log = EventLog(__name__)


def make_hello(core: Core, wanted: str = '') -> Hello:
    """Return the hello of this daemon; ``wanted`` names the receiver."""
    local = core.directory.local
    return Hello(
        name=local.name,
        process=core.process,
        address=local.address,
        zone=local.zone,
        version=core.holder.version,
        digest=core.directory.digest,
        link_rate=_round_rate(core.cfg.link_rate),
        reads_store=core.reader_election.has_contact,
        wanted=wanted,
        store_epoch=core.store_epochs.current,
        features=ALL_FEATURES,
    )


def _round_rate(rate: float) -> int:
    return round(rate) if math.isfinite(rate) else 0


def handle_hello(core: Core, hello: Hello) -> bool:
    """Record a hello; return whether the directory changed."""
    now = core.clock()
    is_news = core.directory.record_contact(hello.record(), now)
    core.comparison.record_digest(hello.name, hello.digest, now)
    core.store_epochs.record(hello.store_epoch, is_direct=False)
    return is_news


def make_known_peers(
    core: Core, request: KnownPeersRequest
) -> KnownPeers | None:
    """Return the known peers, ``None`` if the other daemon knows the same."""
    if request.digest == core.directory.digest:
        return None
    return KnownPeers(
        daemons=[
            (
                reported.record.name,
                reported.record.address,
                reported.record.zone,
                round(reported.age),
            )
            for reported in core.directory.list_reports(core.clock())
        ],
    )


def request_known_peers(core: Core, fleet: Fleet, now: float) -> None:
    """Request the known peers of a daemon whose digest differs, if any."""
    daemon = core.comparison.take_daemon_to_query(now)
    link = fleet.links.get(daemon or '')
    if link is not None:
        link.send(KnownPeersRequest(digest=core.directory.digest))


def handle_known_peers(core: Core, known: KnownPeers) -> None:
    """Record the peers that another daemon knows."""
    now = core.clock()
    is_news = False
    for reported in known.records():
        is_news |= core.directory.record_report(reported, now)
    if is_news:
        _log.note('daemons.told', count=len(known.daemons))
