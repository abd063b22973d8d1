"""Check the addresses that a daemon listens on and dials."""

import itertools
from collections.abc import Iterator, Mapping

from goldcrestwharf.documents import Problem
from goldcrestwharf.settings._address import Address, find_address
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

_OWN = ('peer_address', 'caller_address', 'local_address')


@check
def find_bad_addresses(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each address that isn't one."""
    for field in _OWN:
        yield from _find_bad(field, getattr(cfg, field))
    for number, seed in enumerate(cfg.seeds):
        yield from _find_bad(f'seeds.{number}', seed)


@check
def find_vague_addresses(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each address that no daemon can dial."""
    yield from _find_vague('peer_address', cfg.peer_address)
    for number, seed in enumerate(cfg.seeds):
        yield from _find_vague(f'seeds.{number}', seed)


@check
def find_port_clashes(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each two own addresses that are the same."""
    usable = _usable(cfg)
    for first, second in itertools.combinations(usable, 2):
        if usable[first].clashes_with(usable[second]):
            yield Problem(
                place=SETTINGS.within(second),
                reason=f'{second} has the port of {first}',
                remedy='give each of them a port of its own',
            )


def _find_bad(field: str, written: str) -> Iterator[Problem]:
    try:
        Address.parse(written)
    except ValueError as exc:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} "{written}" is unusable: {exc}',
            remedy='write an IP number and a port, such as "10.0.0.7:7001"',
        )


def _find_vague(field: str, written: str) -> Iterator[Problem]:
    address = find_address(written)
    if address is not None and not address.is_dialable:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} "{written}" does not name one VM',
            remedy='write the address by which other VMs reach it',
        )


def _usable(cfg: DaemonSettings) -> Mapping[str, Address]:
    parsed = {field: find_address(getattr(cfg, field)) for field in _OWN}
    return {field: found for field, found in parsed.items() if found}
