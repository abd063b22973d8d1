"""Checks of the seeds, the daemons through which a daemon joins."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem, Severity
from goldcrestwharf.settings._address import parse_address
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings


@check
def find_local_seed(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for a seed that is the local daemon."""
    local = parse_address(cfg.peer_address)
    for number, seed in enumerate(cfg.seeds):
        if local is not None and parse_address(seed) == local:
            yield Problem(
                place=SETTINGS.within(f'seeds.{number}'),
                reason=f'seeds contains the peer_address {seed} of this daemon',
                remedy='name other daemons, or none for the first daemon',
            )


@check
def find_unreachable_loopback(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a warning if the seeds can't connect to this daemon."""
    local = parse_address(cfg.peer_address)
    if local is None or not local.host.is_loopback:
        return
    if any(_is_remote(seed) for seed in cfg.seeds):
        yield Problem(
            place=SETTINGS.within('peer_address'),
            reason='peer_address is a loopback address, but a seed is not',
            remedy='write the address at which other VMs reach this one',
            severity=Severity.WARNING,
        )


def _is_remote(seed: str) -> bool:
    address = parse_address(seed)
    return address is not None and not address.host.is_loopback
