"""Find what stands more than once in a sequence."""

from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

_PartT = TypeVar('_PartT')


def find_repeated(parts: Iterable[_PartT]) -> list[_PartT]:
    """Return each part that comes more than once, in order."""
    counts = Counter(parts).items()
    return [part for part, count in counts if count > 1]
