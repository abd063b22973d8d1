"""Check the seeds, through which a daemon finds the others."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem, Severity
from goldcrestwharf.settings._address import find_address
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings


@check
def find_own_seed(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for a seed that is the daemon itself."""
    own = find_address(cfg.peer_address)
    for number, seed in enumerate(cfg.seeds):
        if own is not None and find_address(seed) == own:
            yield Problem(
                place=SETTINGS.within(f'seeds.{number}'),
                reason=f'seeds names the own peer_address {seed}',
                remedy='name other daemons, or none on the very first one',
            )


@check
def find_lonely_loopback(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a warning if the daemon dials others that can't dial it."""
    own = find_address(cfg.peer_address)
    if own is None or not own.host.is_loopback:
        return
    if any(_is_elsewhere(seed) for seed in cfg.seeds):
        yield Problem(
            place=SETTINGS.within('peer_address'),
            reason='peer_address is a loopback address, but a seed is not',
            remedy='write the address by which other VMs reach this one',
            severity=Severity.WARNING,
        )


def _is_elsewhere(seed: str) -> bool:
    address = find_address(seed)
    return address is not None and not address.host.is_loopback
