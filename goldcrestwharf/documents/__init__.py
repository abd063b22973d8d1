"""Read and validate handwritten documents: JSON with comments.

A schema is a frozen attrs class. Its fields are made by :func:`integer`,
:func:`text` and similar functions, which record units, bounds and help texts.
:func:`read_document` collects all problems of a document in one pass.
"""

from goldcrestwharf.documents._document import (
    ReadResult,
    read_document,
    read_file,
)
from goldcrestwharf.documents._fields import (
    flag,
    integer,
    percents,
    secret,
    section,
    sections,
    text,
    texts,
)
from goldcrestwharf.documents._problem import (
    Place,
    Problem,
    Problems,
    Severity,
    drop_dependent_problems,
    refusals,
    sort_problems,
)
from goldcrestwharf.documents._read_scalars import MAX_ELEMENTS, MAX_TEXT_CHARS
from goldcrestwharf.documents._reference import render_reference
from goldcrestwharf.documents._render_commented import render_commented
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._source import MAX_DOCUMENT_BYTES
from goldcrestwharf.documents._spec import FieldSpec, Shape, spec_of
from goldcrestwharf.documents._suggest import Suggester, normalize_name
from goldcrestwharf.documents._unstructure import unstructure
from goldcrestwharf.documents._validate_model import validate_model

__all__ = (
    'MAX_DOCUMENT_BYTES',
    'MAX_ELEMENTS',
    'MAX_TEXT_CHARS',
    'FieldSpec',
    'Place',
    'Problem',
    'Problems',
    'ReadResult',
    'Schema',
    'Severity',
    'Shape',
    'Suggester',
    'drop_dependent_problems',
    'flag',
    'integer',
    'normalize_name',
    'percents',
    'read_document',
    'read_file',
    'refusals',
    'render_commented',
    'render_reference',
    'schema_of',
    'secret',
    'section',
    'sections',
    'sort_problems',
    'spec_of',
    'text',
    'texts',
    'unstructure',
    'validate_model',
)
