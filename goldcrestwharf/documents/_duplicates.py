"""Search for duplicates in a sequence."""

from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

_ElementT = TypeVar('_ElementT')


def find_duplicates(elements: Iterable[_ElementT]) -> list[_ElementT]:
    """Return each element that occurs more than once, in order."""
    counts = Counter(elements).items()
    return [element for element, count in counts if count > 1]
