"""Read a document according to its schema."""

from pathlib import Path
from typing import Generic, TypeVar

import attrs
from returns.result import Failure, Result, Success

from goldcrestwharf.documents import _read_lists, _read_scalars
from goldcrestwharf.documents._cursor import Cursor
from goldcrestwharf.documents._problem import Place, Problem, Problems
from goldcrestwharf.documents._read_sections import read_model
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._source import MAX_DOCUMENT_BYTES, parse_source
from goldcrestwharf.documents._tree import Section

#: Importing these modules registers the readers of all shapes.
READER_MODULES = (_read_lists, _read_scalars)

_ModelT = TypeVar('_ModelT')


@attrs.frozen(kw_only=True)
class ReadResult(Generic[_ModelT]):
    """The result of reading a document.

    In ``model`` the fields with ``problems`` have their defaults, so that
    further checks can run on the rest. It is ``None`` if the document can't
    be parsed.
    """

    model: _ModelT | None
    problems: Problems = ()


def read_document(
    raw: bytes,
    model: type[_ModelT],
    place: Place,
) -> ReadResult[_ModelT]:
    """Read a document of JSON with comments, collecting all problems."""
    parsed = parse_source(raw, place)
    if isinstance(parsed, Failure):
        return ReadResult(model=None, problems=parsed.failure())
    root = parsed.unwrap()
    if isinstance(root, Section):
        report = Report()
        instance = read_model(root, model, Cursor(report, place))
        return ReadResult(model=instance, problems=report.problems)
    problem = Problem(
        place=place,
        reason='the document is not an object',
        remedy='put the whole document in braces',
    )
    return ReadResult(model=None, problems=(problem,))


def read_file(path: Path, place: Place) -> Result[bytes, Problems]:
    """Return the bytes of a file, up to one more than the maximum.

    The additional byte lets the parser detect a file that is too large.
    """
    try:
        with path.open('rb') as opened:
            return Success(opened.read(MAX_DOCUMENT_BYTES + 1))
    except OSError as exc:
        problem = Problem(
            place=place,
            reason=f'{path} can not be read: {exc.strerror}',
            remedy='check the path and the permissions',
        )
        return Failure((problem,))
