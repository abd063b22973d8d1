"""Check documents that people write: JSON with comments against a schema.

A schema is a frozen attrs class whose fields are made by :func:`integer`,
:func:`text` and their kin, which carry units, bounds and help texts.
:func:`read_document` collects all problems of a document in one pass.
"""

from goldcrestwharf.documents._commented import render_commented
from goldcrestwharf.documents._document import (
    Reading,
    read_document,
    read_file,
)
from goldcrestwharf.documents._examine import examine
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
from goldcrestwharf.documents._plain import unstructure
from goldcrestwharf.documents._problem import (
    Place,
    Problem,
    Problems,
    Severity,
    drop_consequences,
    refusals,
    sort_problems,
)
from goldcrestwharf.documents._read_scalars import MAX_PARTS, MAX_TEXT_CHARS
from goldcrestwharf.documents._reference import render_reference
from goldcrestwharf.documents._schema import Schema, schema_of
from goldcrestwharf.documents._source import MAX_DOCUMENT_BYTES
from goldcrestwharf.documents._spec import FieldSpec, Shape, spec_of
from goldcrestwharf.documents._suggest import Suggester, skeleton_of

__all__ = (
    'MAX_DOCUMENT_BYTES',
    'MAX_PARTS',
    'MAX_TEXT_CHARS',
    'FieldSpec',
    'Place',
    'Problem',
    'Problems',
    'Reading',
    'Schema',
    'Severity',
    'Shape',
    'Suggester',
    'drop_consequences',
    'examine',
    'flag',
    'integer',
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
    'skeleton_of',
    'sort_problems',
    'spec_of',
    'text',
    'texts',
    'unstructure',
)
