"""Encoding of the messages between daemons as msgpack arrays.

The first element is the number of the message type; the fields come in
their declared order.
"""

import operator
from collections.abc import Callable
from typing import Any, Final, TypeVar

import attrs
import msgpack

from goldcrestwharf.proxy._field_types import make_checks
from goldcrestwharf.proxy._scalar_types import Check

_MessageT = TypeVar('_MessageT', bound=type)


@attrs.frozen(kw_only=True)
class _Form:
    """Encoding of one message type."""

    number: int
    message: type
    names: tuple[str, ...]
    checks: tuple[Check, ...]
    read_fields: Callable[[Any], Any]


_by_number: Final[dict[int, _Form]] = {}
_by_type: Final[dict[type, _Form]] = {}


def message(number: int) -> Callable[[_MessageT], _MessageT]:
    """Register a message type; its number is never reused."""

    def decorator(message_type: _MessageT) -> _MessageT:
        names = tuple(attrs.fields_dict(message_type))
        form = _Form(
            number=number,
            message=message_type,
            names=names,
            checks=make_checks(message_type),
            read_fields=operator.attrgetter(*names),
        )
        _by_number[number] = form
        _by_type[message_type] = form
        return message_type

    return decorator


def pack(sent: object) -> bytes:
    """Encode a message."""
    form = _by_type[sent.__class__]
    fields = form.read_fields(sent)
    if len(form.names) == 1:
        fields = (fields,)
    packed: bytes = msgpack.packb((form.number, *fields))
    return packed


def unpack(parts: Any) -> object | None:
    """Decode a message, ``None`` for an unknown number.

    Raises :class:`ValueError` or :class:`TypeError` for invalid input.
    """
    if not isinstance(parts, list) or not parts:
        raise ValueError('a message must be an array that begins with a number')
    form = _by_number.get(parts[0])
    if form is None:
        return None
    # Ignores fields that a later release appended.
    if not all(map(operator.call, form.checks, parts[1:])):
        raise ValueError(f'a field of message {form.number} has another type')
    fields = zip(form.names, parts[1:], strict=False)
    read: object = form.message(**dict(fields))
    return read
