"""Create member records like those of a large mesh."""

import ipaddress

from goldcrestwharf.membership import Member, Target
from goldcrestwharf.membership._gossip import Rumor
from goldcrestwharf.wire import decode, encode

ZONE_COUNT = 30
_GROUP_COUNT = 2000
_FIRST_ADDRESS = 167_772_160


def make_record(number: int) -> Member:
    """Return a record as decoded from a message, sharing no strings."""
    group, zone = number % _GROUP_COUNT, number % ZONE_COUNT
    host = ipaddress.IPv4Address(_FIRST_ADDRESS + number)
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
