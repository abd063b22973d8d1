"""Check documents that people write: JSON with comments against a schema.

A schema is a frozen attrs class whose fields are made by :func:`integer`,
:func:`text` and their kin, which carry units, bounds and help texts.
"""

from goldcrestwharf.documents._fields import FieldSpec, integer, spec_of, text

__all__ = ('FieldSpec', 'integer', 'spec_of', 'text')
