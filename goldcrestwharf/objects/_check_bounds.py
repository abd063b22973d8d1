"""Check that each field is within the bounds of its schema.

A file is validated against the schema when it is read; this check does the
same for a set from the log or from a peer.
"""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem, examine
from goldcrestwharf.objects._kinds import KINDS
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check


@check('fields-within-bounds', is_local=True)
def find_fields_out_of_bounds(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each field that its schema doesn't allow."""
    for kind in KINDS:
        for name, model in kind.of(objects).items():
            yield from examine(model, Place(kind=kind.word, name=name))
