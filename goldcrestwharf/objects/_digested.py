"""Give each object a digest of its content."""

import functools
import hashlib

import attrs

from goldcrestwharf.objects._converter import canonical_json


@attrs.frozen(kw_only=True)
class Digested:
    """Compute the digest of an object once, for it never changes.

    The objects that two versions have in common are shared by their sets,
    so that a change costs the digests of the objects that it touches.
    """

    @functools.cached_property
    def digest(self) -> bytes:
        """Return the SHA-256 digest of the canonical JSON of the fields."""
        return hashlib.sha256(canonical_json(self)).digest()
