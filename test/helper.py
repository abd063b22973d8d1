"""Helpers for the tests of several packages."""

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
    """Return a random generator with a fixed seed."""
    return random.Random(SEED)


def make_identity(vm: str = 'vm-1', zone: str = 'recife-a') -> Identity:
    """Return the identity of a daemon that no peer connects to."""
    return Identity(vm=vm, zone=zone, address='127.0.0.1:1')


def make_peer_context(
    *,
    handlers: Handlers | None = None,
    identity: Identity | None = None,
    key: bytes = CLUSTER_KEY,
    cluster: str = 'test',
    timers: Timers | None = None,
) -> PeerContext:
    """Return the context of a peer connection between daemons under test."""
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


#: First port and number of ports to choose from. The range lies below the
#: kernel's ephemeral ports, so that no outgoing connection of another test
#: takes a port between the search and its use.
_FIRST_PORT = 10_000
_PORT_COUNT = 22_000

#: Distance between the start ports of test processes with adjacent process
#: ids, so that processes that run side by side search different ports.
_PORTS_PER_PROCESS = 613

_port_counter = itertools.count(os.getpid() * _PORTS_PER_PROCESS)


def find_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on."""
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_counter) % _PORT_COUNT
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
