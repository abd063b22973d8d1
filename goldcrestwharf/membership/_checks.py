"""Bound what a record may hold before it is kept."""

from goldcrestwharf.membership._model import Member, Target

MAX_TARGETS = 64
MAX_TEXT_LENGTH = 255
_MAX_PORT = 65_535

#: Leaves room for all later restarts and refutations in 64 bits.
_MAX_INCARNATION = 0x3FFFFFFFFFFFFFFF


def is_sound(record: Member) -> bool:
    """Tell whether ``record`` keeps the bounds on its size and numbers."""
    return all(
        (
            len(record.targets) <= MAX_TARGETS,
            0 <= record.incarnation <= _MAX_INCARNATION,
            0 <= record.revision <= _MAX_INCARNATION,
            _are_short(record.vm, record.zone, record.address),
            record.vm and record.zone,
            has_port(record.address),
            all(_is_target_sound(target) for target in record.targets),
        ),
    )


def _is_target_sound(target: Target) -> bool:
    is_short = _are_short(target.name, target.group, target.address)
    return is_short and target.slots > 0


def has_port(address: str) -> bool:
    """Tell whether ``address`` is ``host:port`` with a port that exists."""
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    return bool(host) and is_number and int(port) <= _MAX_PORT


def _are_short(*texts: str) -> bool:
    return all(len(text) <= MAX_TEXT_LENGTH for text in texts)
