"""Compute the digest that identifies the content of a set."""

import hashlib
import json
from collections.abc import Mapping

from goldcrestwharf.objects._kinds import KINDS, AnyObject
from goldcrestwharf.objects._model import ObjectSet


def digest_of(objects: ObjectSet) -> str:
    """Return the hexadecimal SHA-256 digest of a set.

    It depends only on the content, not on the order of names or fields.
    """
    hasher = hashlib.sha256()
    for kind in KINDS:
        _add_kind(hasher, kind.key, kind.of(objects))
    return hasher.hexdigest()


def _add_kind(
    hasher: 'hashlib._Hash',
    key: str,
    objects_by_name: Mapping[str, AnyObject],
) -> None:
    names = sorted(objects_by_name)
    hasher.update(json.dumps([key, names]).encode('ascii'))
    hasher.update(b''.join([objects_by_name[name].digest for name in names]))
