"""Validate the size and the numbers of received records."""

from goldcrestwharf.membership._model import Member, Target

MAX_TARGETS = 64
MAX_TEXT_LENGTH = 255
_MAX_PORT = 65_535

#: Below the 64-bit limit, so that restarts and refutations can still
#: increase the number.
_MAX_INCARNATION = 0x3FFFFFFFFFFFFFFF


def is_valid(record: Member) -> bool:
    """Return whether the sizes and numbers of ``record`` are in range."""
    return all(
        (
            len(record.targets) <= MAX_TARGETS,
            0 <= record.incarnation <= _MAX_INCARNATION,
            0 <= record.revision <= _MAX_INCARNATION,
            _are_short(record.vm, record.zone, record.address),
            record.vm and record.zone,
            has_port(record.address),
            all(_is_target_valid(target) for target in record.targets),
        ),
    )


def _is_target_valid(target: Target) -> bool:
    is_short = _are_short(target.name, target.group, target.address)
    return is_short and target.slots > 0


def has_port(address: str) -> bool:
    """Return whether ``address`` is ``host:port`` with a port in range."""
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    return bool(host) and is_number and int(port) <= _MAX_PORT


def _are_short(*texts: str) -> bool:
    return all(len(text) <= MAX_TEXT_LENGTH for text in texts)
