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
    seconds,
    take,
    take_table,
)
from goldcrestwharf.proxy import ProxySettings

#: Place of the streams between daemons in the range of free ports.
_PEER_PORT = 0

_BITS_PER_MBIT = 1_000_000
_BITS_PER_BYTE = 8

#: Seconds between two heartbeats if the settings name no time.
_DEFAULT_HEARTBEAT = '1500ms'


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Hold the settings of one process; addresses are ``host:port``.

    ``readiness`` is where the platform asks whether callers may come,
    ``heartbeats`` where the target reports, and ``store`` the metadata
    store. ``host`` is the address of the VM. ``seeds`` are addresses of the
    streams of a few other daemons, which may be down.
    """

    proxy: ProxySettings
    readiness: str
    heartbeats: str
    store: str
    host: str
    seeds: tuple[str, ...]


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises :class:`PlatformFormatError` if they can't be used, and
    :class:`OSError` if the file can't be read.
    """
    try:
        document = yaml.load(path.read_bytes(), Loader=yaml.CSafeLoader)
    except yaml.YAMLError as exc:
        raise PlatformFormatError(reason=f'no YAML: {exc}') from exc
    return decode_settings(take_table(document, 'the settings file'))


def decode_settings(document: Mapping[str, Any]) -> PlatformSettings:
    """Return the settings in a table; unknown fields are ignored."""
    listen = take_table(document.get('listen'), 'listen')
    store = take_table(document.get('platform'), 'platform')
    return PlatformSettings(
        proxy=_decode_proxy(document, listen),
        readiness=take(listen, 'ready', str),
        heartbeats=take(listen, 'control', str),
        store=take(store, 'address', str),
        host=take(document, 'ip', str),
        seeds=tuple(_decode_seeds(document)),
    )


def _decode_seeds(document: Mapping[str, Any]) -> Iterator[str]:
    """Yield where the seeds' streams are: their ports are the same."""
    port = take(document, 'port_range', list)[_PEER_PORT]
    for address in document.get('seed_addrs') or ():
        host = str(address).rpartition(':')[0]
        yield f'{host}:{port}'


def _decode_proxy(
    document: Mapping[str, Any],
    listen: Mapping[str, Any],
) -> ProxySettings:
    bounds = take_table(document.get('bounds'), 'bounds')
    ports = take(document, 'port_range', list)
    host = take(document, 'ip', str)
    return ProxySettings(
        name=take(document, 'node_name', str),
        zone=take(document, 'zone', str),
        callers=take(listen, 'outbound', str),
        peers=f'{host}:{ports[_PEER_PORT]}',
        target=take(document, 'app_addr', str),
        service=take(document, 'service', str),
        heartbeat_period=seconds(
            document.get('heartbeat') or _DEFAULT_HEARTBEAT,
        ),
        drain_timeout=seconds(bounds.get('drain_timeout')),
        grace_period=seconds(bounds.get('grace_period')),
        budget=_decode_budget(bounds),
        link_rate=_decode_link_rate(document),
        advertised_peers=os.environ.get(ADVERTISED_VARIABLE, ''),
        names=HEADERS,
    )


def _decode_link_rate(document: Mapping[str, Any]) -> float:
    """Return bytes a second; the file has megabits."""
    limits = document.get('limits') or {}
    mbits = limits.get('link_mbps')
    if not isinstance(mbits, int | float) or mbits <= 0:
        return math.inf
    return mbits * _BITS_PER_MBIT / _BITS_PER_BYTE


def _decode_budget(bounds: Mapping[str, Any]) -> RetryBudgetTerms:
    return RetryBudgetTerms(
        ratio=float(bounds.get('retry_budget_ratio', 0)),
        slack=float(bounds.get('budget_slack', 0)),
        window=seconds(bounds.get('budget_window')),
    )
