"""Checks of the addresses that a daemon listens on and connects to."""

import itertools
from collections.abc import Iterator, Mapping

from goldcrestwharf.documents import Problem
from goldcrestwharf.settings._address import Address, parse_address
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

_LISTENER_FIELDS = ('peer_address', 'caller_address', 'local_address')


@check
def find_malformed_addresses(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each malformed address."""
    for field in _LISTENER_FIELDS:
        yield from _check_format(field, getattr(cfg, field))
    for number, seed in enumerate(cfg.seeds):
        yield from _check_format(f'seeds.{number}', seed)


@check
def find_unconnectable_addresses(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each address that no daemon can connect to."""
    yield from _check_connectable('peer_address', cfg.peer_address)
    for number, seed in enumerate(cfg.seeds):
        yield from _check_connectable(f'seeds.{number}', seed)


@check
def find_port_conflicts(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each pair of listeners with one address."""
    listeners = _parse_listeners(cfg)
    for first, second in itertools.combinations(listeners, 2):
        if listeners[first].conflicts_with(listeners[second]):
            yield Problem(
                place=SETTINGS.within(second),
                reason=f'{second} has the same port as {first}',
                remedy='give each of them a different port',
            )


def _check_format(field: str, address_text: str) -> Iterator[Problem]:
    try:
        Address.parse(address_text)
    except ValueError as exc:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} "{address_text}" is malformed: {exc}',
            remedy='write an IP number and a port, such as "10.0.0.7:7001"',
        )


def _check_connectable(field: str, address_text: str) -> Iterator[Problem]:
    address = parse_address(address_text)
    if address is not None and not address.is_connectable:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} "{address_text}" is not the address of one VM',
            remedy='write the address at which other VMs reach it',
        )


def _parse_listeners(cfg: DaemonSettings) -> Mapping[str, Address]:
    parsed = {
        field: parse_address(getattr(cfg, field)) for field in _LISTENER_FIELDS
    }
    return {field: address for field, address in parsed.items() if address}
