"""Election of the daemon that controls the roll-out of a service."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

import attrs

_MAX_CACHED_SCORES = 4096


@attrs.frozen(kw_only=True)
class Member:
    """Daemon in reach; ``has_contact`` says that it reads the store."""

    name: str
    has_contact: bool


def elect_controller(service: str, members: Iterable[Member]) -> str:
    """Return the controller, by rendezvous hashing.

    Daemons with contact to the store go first. If none has contact, any
    daemon controls the phases until the store is back.
    """
    leading = max(
        members,
        key=lambda member: (member.has_contact, _score(service, member.name)),
    )
    return leading.name


@lru_cache(maxsize=_MAX_CACHED_SCORES)
def _score(service: str, name: str) -> bytes:
    joined = f'{service}\n{name}'
    return hashlib.blake2b(joined.encode(), digest_size=8).digest()
