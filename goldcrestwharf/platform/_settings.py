"""Read the settings file that the platform writes for each process."""

import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs

from goldcrestwharf.discovery import is_address
from goldcrestwharf.platform._fields import (
    expect_table,
    get_address,
    get_field,
)
from goldcrestwharf.platform._names import ADVERTISED_VARIABLE, HEADERS
from goldcrestwharf.platform._settings_bounds import (
    decode_budget,
    decode_link_rate,
    decode_max_fds,
    decode_memory,
    decode_rollout,
    find_positive,
)
from goldcrestwharf.platform._values import parse_duration
from goldcrestwharf.platform._yaml import parse_yaml
from goldcrestwharf.proxy import ProxySettings

#: Index of the port for connections between daemons in ``port_range``.
_PEER_PORT_INDEX = 0

#: Writing calls per second of a store that states no rate.
_DEFAULT_WRITES_PER_S = 400.0

#: Interval of heartbeats if the settings don't set one.
_DEFAULT_HEARTBEAT = '1500ms'


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The settings of a process; addresses are ``host:port``.

    ``readiness`` is the address for readiness checks of the platform,
    ``heartbeats`` the one for heartbeats of the target, and ``store`` that
    of the metadata store. ``store_writes_per_s`` is the number of writing
    calls that it takes from all daemons together. ``host`` is the IP address
    of the VM. ``seeds`` are addresses of a few other daemons, which may be
    down.
    """

    proxy: ProxySettings
    readiness: str
    heartbeats: str
    store: str
    store_writes_per_s: float
    host: str
    seeds: tuple[str, ...]


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises :class:`PlatformFormatError` if they are invalid, and
    :class:`OSError` if the file can't be read.
    """
    document = parse_yaml(path.read_bytes())
    return decode_settings(expect_table(document, 'the settings file'))


def decode_settings(document: Mapping[str, Any]) -> PlatformSettings:
    """Return the settings in a table; unknown fields are ignored."""
    listen = expect_table(document.get('listen'), 'listen')
    store = expect_table(document.get('platform'), 'platform')
    return PlatformSettings(
        proxy=_decode_proxy(document, listen),
        readiness=get_address(listen, 'ready'),
        heartbeats=get_address(listen, 'control'),
        store=get_address(store, 'address'),
        store_writes_per_s=_decode_writes(store),
        host=get_field(document, 'ip', str),
        seeds=tuple(_decode_seeds(document)),
    )


def _decode_writes(store: Mapping[str, Any]) -> float:
    writes_per_s = find_positive(store, 'writes_per_s')
    return _DEFAULT_WRITES_PER_S if writes_per_s is None else writes_per_s


def _decode_seeds(document: Mapping[str, Any]) -> Iterator[str]:
    """Yield the addresses of the seeds, which use the same port as we do.

    A seed without a usable address is left out.
    """
    if not document.get('seed_addrs'):
        return
    port = _decode_port(document)
    for written in get_field(document, 'seed_addrs', list):
        host = written.rpartition(':')[0] if isinstance(written, str) else ''
        seed = f'{host}:{port}'
        if is_address(seed):
            yield seed


def _decode_port(document: Mapping[str, Any]) -> int:
    """Return the port for connections between daemons."""
    ports = get_field(document, 'port_range', list)
    first = dict(enumerate(ports)).get(_PEER_PORT_INDEX)
    return get_field({'port_range': first}, 'port_range', int)


def _decode_proxy(
    document: Mapping[str, Any],
    listen: Mapping[str, Any],
) -> ProxySettings:
    bounds = expect_table(document.get('bounds'), 'bounds')
    peers = '{}:{}'.format(
        get_field(document, 'ip', str), _decode_port(document)
    )
    return ProxySettings(
        name=get_field(document, 'node_name', str),
        zone=get_field(document, 'zone', str),
        callers=get_address(listen, 'outbound'),
        peers=get_address({'peers': peers}, 'peers'),
        target=get_address(document, 'app_addr'),
        service=get_field(document, 'service', str),
        heartbeat_period=parse_duration(
            document.get('heartbeat') or _DEFAULT_HEARTBEAT,
        ),
        drain_timeout=parse_duration(bounds.get('drain_timeout')),
        grace_period=parse_duration(bounds.get('grace_period')),
        budget=decode_budget(bounds),
        rollout=decode_rollout(bounds),
        link_rate=decode_link_rate(document),
        memory_bytes=decode_memory(document),
        max_fds=decode_max_fds(document),
        advertised_peers=os.environ.get(ADVERTISED_VARIABLE, ''),
        names=HEADERS,
    )
