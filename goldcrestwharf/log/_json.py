"""Turn typed bodies into JSON and back."""

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
    """Return the body in ``raw``.

    Raises :class:`WireFormatError` if it is not one of ``body_type``.
    """
    try:
        return _converter.structure(json.loads(raw), body_type)
    except Exception as exc:
        raise malformed(body_type.__name__) from exc


def malformed(name: str) -> WireFormatError:
    """Return the error for a body that is not a ``name``."""
    return WireFormatError(
        reason=f'the body is not a well-formed {name}',
        remedy='see the reference of the platform log',
    )
