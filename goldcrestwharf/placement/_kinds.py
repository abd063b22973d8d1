"""Learn what the requests of each kind take."""

import attrs

#: Weight of one more request in the running means of a kind.
_WEIGHT = 0.05

#: Bounds of one sample of the relative length, against outliers.
_LEAST_LENGTH = 0.05
_MOST_LENGTH = 8.0

#: Kinds that are told apart; further ones count as usual.
_MAX_KINDS = 1024


@attrs.define(kw_only=True, eq=False)
class KindTraits:
    """Hold running means of one kind of request.

    ``size`` counts the bytes of both bodies, and ``length`` is the time
    that a request holds a slot, relative to the mean of its target.
    """

    size: float = 0
    length: float = 1


class KindBook:
    """Keep the traits of the kinds by name."""

    def __init__(self) -> None:
        """Know of no kind."""
        self._kinds: dict[str, KindTraits] = {}

    def find(self, kind: str) -> KindTraits:
        """Return the traits of a kind, the usual ones for a new one."""
        found = self._kinds.get(kind)
        if found is None:
            found = KindTraits()
            if len(self._kinds) < _MAX_KINDS:
                self._kinds[kind] = found
        return found

    def note(self, kind: str, *, size: int, length: float) -> None:
        """Take in one request that ran."""
        traits = self.find(kind)
        bounded = min(max(length, _LEAST_LENGTH), _MOST_LENGTH)
        traits.size += (size - traits.size) * _WEIGHT
        traits.length += (bounded - traits.length) * _WEIGHT
