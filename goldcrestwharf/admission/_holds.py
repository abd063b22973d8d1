"""Remember how long requests hold the slots of a target."""

#: Weight of one more hold time in the running mean.
_WEIGHT = 0.05

#: Hold time assumed before the first one is known, in seconds.
_FIRST_GUESS_S = 0.05

#: Kinds that are told apart; further ones share the common mean.
_MAX_KINDS = 256


class HoldTimes:
    """Keep running means, in seconds, by kind of request and of all."""

    def __init__(self) -> None:
        """Assume a short hold time."""
        self.mean = _FIRST_GUESS_S
        self.is_known = False
        self._by_kind: dict[str, float] = {}

    def note(self, kind: str, held: float) -> None:
        """Take in one hold time."""
        if self.is_known:
            self.mean += (held - self.mean) * _WEIGHT
        else:
            self.mean = held
            self.is_known = True
        known = self._by_kind.get(kind)
        if known is not None:
            self._by_kind[kind] = known + (held - known) * _WEIGHT
        elif len(self._by_kind) < _MAX_KINDS:
            self._by_kind[kind] = held

    def mean_of(self, kind: str) -> float:
        """Return the mean of one kind, or of all if it is not known."""
        return self._by_kind.get(kind, self.mean)
