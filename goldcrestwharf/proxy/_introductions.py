"""Introduce daemons to one another."""

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._peer_messages import Hello


def make_hello(core: Core) -> Hello:
    """Return what this daemon says of itself and of those it knows."""
    own = core.directory.own
    return Hello(
        name=own.name,
        process=core.process,
        address=own.address,
        zone=own.zone,
        version=core.holder.version,
        known=[
            (record.name, record.address, record.zone)
            for record in core.directory.records()
        ],
    )


def take_hello(core: Core, hello: Hello) -> bool:
    """Take in an introduction; tell whether the directory has changed."""
    now = core.clock()
    is_news = core.directory.note_heard(hello.record(), now)
    for told in hello.others():
        is_news |= core.directory.note_told(told, now)
    return is_news
