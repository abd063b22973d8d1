"""List the differences between two sets for display."""

import enum
from collections.abc import Iterator

import attrs

from goldcrestwharf.objects import (
    KINDS,
    Kind,
    ObjectDelta,
    ObjectsFormatError,
    decode_delta,
)


class Action(enum.StrEnum):
    """What a delta does with an object."""

    PUT = 'put'
    REMOVE = 'remove'


@attrs.frozen(kw_only=True)
class Difference:
    """A change of one object; ``kind`` is the label of its kind."""

    action: Action
    kind: str
    name: str

    def __str__(self) -> str:
        """Return a line such as ``put route "menu-web"``."""
        return f'{self.action} {self.kind} "{self.name}"'


def list_differences(delta: ObjectDelta) -> tuple[Difference, ...]:
    """Return the differences that make up ``delta``, by kind and name."""
    return tuple(each for kind in KINDS for each in _list_kind(kind, delta))


def list_packed_differences(packed_delta: bytes) -> tuple[Difference, ...]:
    """Return the differences of an encoded delta, none if it is malformed."""
    try:
        return list_differences(decode_delta(packed_delta))
    except ObjectsFormatError:
        return ()


def _list_kind(kind: Kind, delta: ObjectDelta) -> Iterator[Difference]:
    for put in sorted(kind.of(delta.put)):
        yield Difference(action=Action.PUT, kind=kind.word, name=put)
    for removed in getattr(delta.removed, kind.key):
        yield Difference(action=Action.REMOVE, kind=kind.word, name=removed)
