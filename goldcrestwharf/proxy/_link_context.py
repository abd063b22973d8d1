"""State shared by all links of a daemon."""

import itertools
import random
from collections.abc import Callable

import attrs

from goldcrestwharf.proxy._config_exchange import Peer
from goldcrestwharf.proxy._document_messages import Document
from goldcrestwharf.proxy._peer_messages import Hello, KnownPeers


@attrs.frozen(kw_only=True)
class LinkContext:
    """Callbacks and settings of a daemon's links."""

    make_hello: Callable[[str], Hello]
    receive_hello: Callable[[Hello], None]
    receive_known_peers: Callable[[KnownPeers], None]
    receive_document: Callable[[Peer, Document], None]
    handle_version: Callable[[Peer, int], None]
    receive_store_epoch: Callable[[int], None]
    clock: Callable[[], float]
    rng: random.Random
    local_zone: str
    has_low_bandwidth_link: bool
    numbers: 'itertools.count[int]'
