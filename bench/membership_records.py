"""Make records like those of a large mesh."""

import ipaddress

from goldcrestwharf.membership import Member, Target
from goldcrestwharf.membership._gossip import Rumor
from goldcrestwharf.wire import decode, encode

ZONES = 30
_GROUPS = 2000
_FIRST_HOST = 167_772_160


def make_record(number: int) -> Member:
    """Return a record as it arrives from a peer, sharing no texts."""
    group, zone = number % _GROUPS, number % ZONES
    host = ipaddress.IPv4Address(_FIRST_HOST + number)
    target = Target(
        name=f'target-{number}',
        group=f'group-{group}',
        address=f'{host}:80',
        slots=12,
    )
    record = Member(
        vm=f'vm-{number}',
        zone=f'zone-{zone}',
        address=f'{host}:7400',
        incarnation=1_764_800_000_000,
        targets=(target,),
    )
    return decode(encode(Rumor(member=record))).member
