"""Read the settings file that the platform writes for each process."""

import math
import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml

from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.platform._names import ADVERTISED_VARIABLE, HEADERS
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    expect_table,
    get_field,
    parse_duration,
)
from goldcrestwharf.proxy import ProxySettings
from goldcrestwharf.rollouts import RolloutTerms

#: Index of the port for connections between daemons in ``port_range``.
_PEER_PORT_INDEX = 0

_BITS_PER_MBIT = 1_000_000
_BITS_PER_BYTE = 8

_BYTES_PER_MB = 1_000_000

#: Writing calls per second of a store that states no rate.
_DEFAULT_WRITES_PER_S = 400

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
    store_writes_per_s: int
    host: str
    seeds: tuple[str, ...]


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises :class:`PlatformFormatError` if they are invalid, and
    :class:`OSError` if the file can't be read.
    """
    try:
        document = yaml.load(path.read_bytes(), Loader=yaml.CSafeLoader)
    except yaml.YAMLError as exc:
        raise PlatformFormatError(reason=f'invalid YAML: {exc}') from exc
    return decode_settings(expect_table(document, 'the settings file'))


def decode_settings(document: Mapping[str, Any]) -> PlatformSettings:
    """Return the settings in a table; unknown fields are ignored."""
    listen = expect_table(document.get('listen'), 'listen')
    store = expect_table(document.get('platform'), 'platform')
    return PlatformSettings(
        proxy=_decode_proxy(document, listen),
        readiness=get_field(listen, 'ready', str),
        heartbeats=get_field(listen, 'control', str),
        store=get_field(store, 'address', str),
        store_writes_per_s=_decode_writes(store),
        host=get_field(document, 'ip', str),
        seeds=tuple(_decode_seeds(document)),
    )


def _decode_writes(store: Mapping[str, Any]) -> int:
    writes_per_s = store.get('writes_per_s')
    if not isinstance(writes_per_s, int) or writes_per_s <= 0:
        return _DEFAULT_WRITES_PER_S
    return writes_per_s


def _decode_seeds(document: Mapping[str, Any]) -> Iterator[str]:
    """Yield the addresses of the seeds, which use the same port as we do."""
    port = get_field(document, 'port_range', list)[_PEER_PORT_INDEX]
    for address in document.get('seed_addrs') or ():
        host = str(address).rpartition(':')[0]
        yield f'{host}:{port}'


def _decode_proxy(
    document: Mapping[str, Any],
    listen: Mapping[str, Any],
) -> ProxySettings:
    bounds = expect_table(document.get('bounds'), 'bounds')
    ports = get_field(document, 'port_range', list)
    host = get_field(document, 'ip', str)
    return ProxySettings(
        name=get_field(document, 'node_name', str),
        zone=get_field(document, 'zone', str),
        callers=get_field(listen, 'outbound', str),
        peers=f'{host}:{ports[_PEER_PORT_INDEX]}',
        target=get_field(document, 'app_addr', str),
        service=get_field(document, 'service', str),
        heartbeat_period=parse_duration(
            document.get('heartbeat') or _DEFAULT_HEARTBEAT,
        ),
        drain_timeout=parse_duration(bounds.get('drain_timeout')),
        grace_period=parse_duration(bounds.get('grace_period')),
        budget=_decode_budget(bounds),
        rollout=_decode_rollout(bounds),
        link_rate=_decode_link_rate(document),
        memory_bytes=_decode_memory(document),
        advertised_peers=os.environ.get(ADVERTISED_VARIABLE, ''),
        names=HEADERS,
    )


def _decode_link_rate(document: Mapping[str, Any]) -> float:
    """Return bytes per second; the file has megabits per second."""
    limits = document.get('limits') or {}
    mbits = limits.get('link_mbps')
    if not isinstance(mbits, int | float) or mbits <= 0:
        return math.inf
    return mbits * _BITS_PER_MBIT / _BITS_PER_BYTE


def _decode_memory(document: Mapping[str, Any]) -> float:
    limits = document.get('limits') or {}
    megabytes = limits.get('memory_mb')
    if not isinstance(megabytes, int | float) or megabytes <= 0:
        return math.inf
    return megabytes * _BYTES_PER_MB


def _decode_budget(bounds: Mapping[str, Any]) -> RetryBudgetTerms:
    return RetryBudgetTerms(
        ratio=float(bounds.get('retry_budget_ratio', 0)),
        slack=float(bounds.get('budget_slack', 0)),
        window=parse_duration(bounds.get('budget_window')),
    )


def _decode_rollout(bounds: Mapping[str, Any]) -> RolloutTerms:
    """Return the bounds of roll-outs; missing ones have their defaults."""
    terms = RolloutTerms()
    return RolloutTerms(
        expose_share=float(bounds.get('expose_share', terms.expose_share)),
        expose_slack=float(bounds.get('expose_slack', terms.expose_slack)),
        rollback=parse_duration(bounds.get('rollback', f'{terms.rollback}s')),
    )
