"""Conversion of bodies to and from JSON."""

import json
from typing import TypeVar

import cattrs

from goldcrestwharf.errors import WireFormatError

_BodyT = TypeVar('_BodyT')

_converter = cattrs.Converter(forbid_extra_keys=True)


def dump_body(body: object) -> bytes:
    """Return ``body`` as JSON."""
    return json.dumps(_converter.unstructure(body)).encode()


def load_body(raw: bytes, body_type: type[_BodyT]) -> _BodyT:
    """Parse ``raw`` as a ``body_type``.

    Raises :class:`WireFormatError` if ``raw`` isn't one.
    """
    try:
        return _converter.structure(json.loads(raw), body_type)
    except Exception as exc:
        raise malformed_body(body_type.__name__) from exc


def malformed_body(name: str) -> WireFormatError:
    """Return the error for a body that isn't a well-formed ``name``."""
    return WireFormatError(
        reason=f'the body is not a well-formed {name}',
        remedy='see the reference of the platform log',
    )
