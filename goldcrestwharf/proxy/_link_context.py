"""State shared by all links of a daemon."""

import itertools
import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from goldcrestwharf.discovery import Departures
from goldcrestwharf.proxy._config_exchange import Peer
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._transfers import Transfers


@attrs.frozen(kw_only=True)
class LinkContext:
    """Callbacks and settings of a daemon's links.

    ``handlers`` are called with the peer and a message of their type,
    ``handle_lost`` with the name of a daemon whose stream ended, and
    ``handle_suspect`` with that of one whose stream is silent or replaced.
    """

    make_hello: Callable[[str], Hello]
    receive_hello: Callable[[Hello], None]
    handlers: Mapping[type, Callable[[Peer, Any], None]]
    handle_version: Callable[[Peer, int], None]
    receive_store_epoch: Callable[[int], None]
    handle_lost: Callable[[str], None]
    handle_suspect: Callable[[str], None]
    clock: Callable[[], float]
    rng: random.Random
    local_zone: str
    has_low_bandwidth_link: bool
    departures: Departures
    numbers: 'itertools.count[int]'
    transfers: Transfers
