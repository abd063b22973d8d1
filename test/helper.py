"""Share what the tests of several packages need."""

import itertools
import os
import random
import socket

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


#: Ports below those that the kernel gives to connections by itself, so that
#: no connection of another test takes one between the search and its use.
_FIRST_PORT = 10_000
_PORTS = 22_000

#: Ports of each process that runs tests, so that no two search the same.
_PORTS_EACH = 613

_searched = itertools.count(os.getpid() * _PORTS_EACH)


def find_ports(count: int) -> list[int]:
    """Return ports of loopback that nobody listens on."""
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_searched) % _PORTS
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
