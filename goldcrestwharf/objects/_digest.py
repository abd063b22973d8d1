"""Compute the digest that names the content of a set."""

import hashlib
import json
from collections.abc import Mapping

from goldcrestwharf.objects._kinds import KINDS, AnyObject
from goldcrestwharf.objects._model import ObjectSet


def digest_of(objects: ObjectSet) -> str:
    """Return the hexadecimal SHA-256 digest of a set.

    It depends on the content alone, not on the order of names or fields.
    """
    whole = hashlib.sha256()
    for kind in KINDS:
        _add_kind(whole, kind.key, kind.of(objects))
    return whole.hexdigest()


def _add_kind(
    whole: 'hashlib._Hash',
    key: str,
    named: Mapping[str, AnyObject],
) -> None:
    names = sorted(named)
    whole.update(json.dumps([key, names]).encode('ascii'))
    whole.update(b''.join([named[name].digest for name in names]))
