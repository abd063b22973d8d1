"""Share what the tests of several packages need."""

import random

from goldcrestwharf.peers import (
    Credentials,
    Handlers,
    Identity,
    PeerContext,
    PeerSettings,
)
from goldcrestwharf.timers import SystemTimers, Timers

LOOPBACK = '127.0.0.1:0'
CLUSTER_KEY = b'a cluster key for tests'
SEED = 20261203


def make_rng() -> random.Random:
    """Return a generator that yields the same numbers in every run."""
    return random.Random(SEED)


def make_identity(vm: str = 'vm-1', zone: str = 'recife-a') -> Identity:
    """Return the identity of a daemon that nobody dials."""
    return Identity(vm=vm, zone=zone, address='127.0.0.1:1')


def make_peer_context(
    *,
    handlers: Handlers | None = None,
    identity: Identity | None = None,
    key: bytes = CLUSTER_KEY,
    cluster: str = 'test',
    timers: Timers | None = None,
) -> PeerContext:
    """Return what a stream between two daemons under test needs."""
    return PeerContext(
        credentials=Credentials(
            cluster=cluster,
            key=key,
            identity=identity or make_identity(),
        ),
        handlers=handlers or Handlers(),
        timers=timers or SystemTimers(),
        cfg=PeerSettings(),
    )
