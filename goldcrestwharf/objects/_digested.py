"""Provide the content digest of objects."""

import functools
import hashlib

import attrs

from goldcrestwharf.objects._converter import canonical_json


@attrs.frozen(kw_only=True)
class Digested:
    """An immutable object whose digest is computed once and cached.

    Sets of successive versions share their unchanged objects, so that a
    change only costs the digests of the changed objects.
    """

    @functools.cached_property
    def digest(self) -> bytes:
        """Return the SHA-256 digest of the canonical JSON of the fields."""
        return hashlib.sha256(canonical_json(self)).digest()
