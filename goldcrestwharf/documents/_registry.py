"""The registry of the functions that read fields, by shape."""

from collections.abc import Callable
from typing import Protocol

from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._spec import FieldSpec, Shape


class Reader(Protocol):
    """A function that reads fields of one shape."""

    def __call__(self, raw: object, spec: FieldSpec, cursor: Cursor) -> object:
        """Return the field's value, or ``INVALID`` after reporting why."""


_readers: dict[Shape, Reader] = {}


def register_reader(shape: Shape) -> Callable[[Reader], Reader]:
    """Return a decorator that registers the reader of ``shape``."""

    def decorator(reader: Reader) -> Reader:
        _readers[shape] = reader
        return reader

    return decorator


def read_field(raw: object, spec: FieldSpec, cursor: Cursor) -> object:
    """Return the value of a field, or ``INVALID`` after reporting why."""
    return _readers[spec.shape](raw, spec, cursor)
