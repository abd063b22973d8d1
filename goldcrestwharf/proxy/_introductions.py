"""Introduce daemons to one another."""

import math

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._peer_messages import AskKnown, Hello, Known

_log = EventLog(__name__)


def make_hello(core: Core, wanted: str = '') -> Hello:
    """Return what this daemon says of itself to the one that is wanted."""
    own = core.directory.own
    return Hello(
        name=own.name,
        process=core.process,
        address=own.address,
        zone=own.zone,
        version=core.holder.version,
        digest=core.directory.digest,
        link_rate=_round_rate(core.cfg.link_rate),
        reads_store=core.duty.has_contact,
        wanted=wanted,
    )


def _round_rate(rate: float) -> int:
    return round(rate) if math.isfinite(rate) else 0


def take_hello(core: Core, hello: Hello) -> bool:
    """Take in an introduction; tell whether the directory has changed."""
    now = core.clock()
    is_news = core.directory.note_heard(hello.record(), now)
    core.comparison.note_digest(hello.name, hello.digest, now)
    return is_news


def tell_known(core: Core, ask: AskKnown) -> Known | None:
    """Return whom this daemon knows, unless the other knows the same."""
    if ask.digest == core.directory.digest:
        return None
    return Known(
        daemons=[
            (
                told.record.name,
                told.record.address,
                told.record.zone,
                round(told.age),
            )
            for told in core.directory.tell(core.clock())
        ],
    )


def ask_known(core: Core, fleet: Fleet, now: float) -> None:
    """Ask a daemon that knows others, if there is one to ask."""
    daemon = core.comparison.find_daemon_to_ask(now)
    link = fleet.links.get(daemon or '')
    if link is not None:
        link.send(AskKnown(digest=core.directory.digest))


def take_known(core: Core, known: Known) -> None:
    """Take in whom another daemon knows."""
    now = core.clock()
    is_news = False
    for told in known.records():
        is_news |= core.directory.note_told(told, now)
    if is_news:
        _log.note('daemons.told', count=len(known.daemons))
