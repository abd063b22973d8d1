"""Convert typed messages to msgpack bytes and back.

This is the only module that calls ``msgpack``. A message is encoded as the
array ``[name, fields]`` with ``fields`` a map from field name to value;
unknown fields are ignored and missing ones take their default, so that
daemons of different releases can exchange messages.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgpack

from goldcrestwharf.errors import UnsupportedMessageError, WireFormatError
from goldcrestwharf.wire._convert import make_converter
from goldcrestwharf.wire._traffic import TRAFFIC

_MessageT = TypeVar('_MessageT', bound=type)

#: Longest excerpt of a received name in an error.
_MAX_SHOWN_CHARS = 80

_REMEDY = 'check that both daemons run releases of the same protocol'

_converter = make_converter()
_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


def message(name: str) -> Callable[[_MessageT], _MessageT]:
    """Register an attrs class as the message called ``name``."""

    def decorator(message_type: _MessageT) -> _MessageT:
        if name in _types_by_name:
            raise ValueError(f'message name {name!r} is taken already')
        _types_by_name[name] = message_type
        _names_by_type[message_type] = name
        return message_type

    return decorator


def encode(body: object) -> bytes:
    """Return the msgpack bytes of a registered message."""
    name = _names_by_type[type(body)]
    fields = _converter.unstructure(body)
    packed: bytes = msgpack.packb([name, fields])
    TRAFFIC.count_sent(name, len(packed))
    return packed


def decode(packed: bytes) -> Any:
    """Return the message in ``packed``.

    Raises :class:`WireFormatError` for malformed bytes or fields, and
    :class:`UnsupportedMessageError` for a name that is not registered.
    """
    try:
        name, fields = msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise _malformed(f'malformed message: {exc}') from exc
    if not isinstance(name, str):
        raise _malformed('the name of a message is no text')
    message_type = _types_by_name.get(name)
    if message_type is None:
        shown = name[:_MAX_SHOWN_CHARS]
        raise UnsupportedMessageError(
            reason=f'unknown message {shown!r}',
            remedy='finish the upgrade of the older daemon',
        )
    TRAFFIC.count_received(name, len(packed))
    return _structure(message_type, fields)


def _structure(message_type: type, fields: object) -> object:
    name = message_type.__name__
    if not isinstance(fields, dict):
        raise _malformed(f'malformed {name}: the fields are not a map')
    try:
        return _converter.structure(fields, message_type)
    except Exception as exc:
        raise _malformed(f'malformed {name}: {exc}') from exc


def _malformed(reason: str) -> WireFormatError:
    return WireFormatError(reason=reason, remedy=_REMEDY)
