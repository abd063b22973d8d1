"""Define the JSON form of a request to publish and of its outcome."""

import enum
import json
from typing import TypeVar

import attrs
import cattrs

from goldcrestwharf.errors import WireFormatError

_DocumentT = TypeVar('_DocumentT')

_converter = cattrs.Converter(detailed_validation=False)


class OutcomeKind(enum.StrEnum):
    """The outcome of a request to publish.

    ``UNAVAILABLE`` means that nothing was published, ``UNKNOWN`` that the
    set may have been published.
    """

    PUBLISHED = 'published'
    UNCHANGED = 'unchanged'
    REFUSED = 'refused'
    SUPERSEDED = 'superseded'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'


@attrs.frozen(kw_only=True)
class PublishRequest:
    """A request to publish the set file ``text``.

    ``base`` is a version such as ``1.412``; it may be empty. A
    ``new_epoch`` above zero starts that epoch with the set.
    """

    text: str
    id: str = ''
    base: str = ''
    allow_large_removal: bool = False
    author: str = ''
    note: str = ''
    new_epoch: int = 0


@attrs.frozen(kw_only=True)
class WinnerDocument:
    """A version that was published first and superseded a request."""

    version: str
    author: str
    note: str
    published_at: str
    differences: tuple[str, ...]


@attrs.frozen(kw_only=True)
class OutcomeDocument:
    """The outcome of a request to publish.

    ``version`` is the published or active version, empty for the other
    outcomes; ``problems`` holds a line for each reason, with its remedy.
    """

    outcome: OutcomeKind
    id: str = ''
    version: str = ''
    base: str = ''
    is_repeat: bool = False
    problems: tuple[str, ...] = ()
    winners: tuple[WinnerDocument, ...] = ()


def encode_document(document: object) -> bytes:
    """Return a document as JSON."""
    plain = _converter.unstructure(document)
    return json.dumps(plain, sort_keys=True).encode()


def decode_document(raw: bytes, kind: type[_DocumentT]) -> _DocumentT:
    """Return the document in ``raw``.

    Raises :class:`WireFormatError` if it is not one of ``kind``.
    """
    try:
        return _converter.structure(json.loads(raw), kind)
    except Exception as exc:
        raise WireFormatError(
            reason=f'the body is not a well-formed {kind.__name__}: {exc}',
            remedy='see the reference of publishing',
        ) from exc
