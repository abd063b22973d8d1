"""Introduce daemons to one another."""

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._peer_messages import AskKnown, Hello, Known


def make_hello(core: Core) -> Hello:
    """Return what this daemon says of itself."""
    own = core.directory.own
    return Hello(
        name=own.name,
        process=core.process,
        address=own.address,
        zone=own.zone,
        version=core.holder.version,
        digest=core.directory.digest,
    )


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
            (told.record.name, told.record.address, told.record.zone, round(told.age))
            for told in core.directory.tell(core.clock())
        ],
    )


def take_known(core: Core, known: Known) -> bool:
    """Take in whom another daemon knows; tell whether any is new."""
    now = core.clock()
    is_news = False
    for told in known.records():
        is_news |= core.directory.note_told(told, now)
    return is_news
