"""Register the functions that read the shapes of fields."""

from collections.abc import Callable
from typing import Protocol

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._spec import FieldSpec, Shape


class Reader(Protocol):
    """Read a field of one shape."""

    def __call__(self, raw: object, spec: FieldSpec, cursor: Cursor) -> object:
        """Return the field's value, or ``UNUSABLE`` after reporting why."""


_readers: dict[Shape, Reader] = {}


def reads(shape: Shape) -> Callable[[Reader], Reader]:
    """Register the function that reads fields of ``shape``."""

    def decorator(reader: Reader) -> Reader:
        _readers[shape] = reader
        return reader

    return decorator


def read_field(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Return the value of a field, or ``UNUSABLE`` after reporting why."""
    return _readers[spec.shape](raw, spec, cursor)
