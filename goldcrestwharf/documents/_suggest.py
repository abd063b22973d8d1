"""Suggest the name that somebody probably meant."""

import difflib
import functools
from collections.abc import Iterable

_CUTOFF = 0.6
_MIN_START_CHARS = 3

#: A search compares a name with all others, so a set with thousands of
#: wrong names gets suggestions for the first ones alone.
_MAX_SEARCHES = 25


class Suggester:
    """Suggest names out of the known ones."""

    def __init__(self, *, names: Iterable[str]) -> None:
        """Suggest out of ``names``."""
        self._known = names
        self._searches = 0

    def find(self, written: str) -> str | None:
        """Return the known name nearest to ``written``, if any is near."""
        alike = self._by_skeleton.get(skeleton_of(written))
        if alike is not None or self._searches == _MAX_SEARCHES:
            return alike
        self._searches += 1
        near = difflib.get_close_matches(written, self._names, 1, _CUTOFF)
        return near[0] if near else self._find_longer(written)

    def remedy(self, written: str, otherwise: str) -> str:
        """Return ``did you mean`` with a name, or else ``otherwise``."""
        near = self.find(written)
        return f'did you mean "{near}"?' if near else otherwise

    @functools.cached_property
    def _names(self) -> list[str]:
        return sorted(self._known)

    @functools.cached_property
    def _by_skeleton(self) -> dict[str, str]:
        return {skeleton_of(name): name for name in self._names}

    def _find_longer(self, written: str) -> str | None:
        if len(written) < _MIN_START_CHARS:
            return None
        longer = [name for name in self._names if name.startswith(written)]
        return longer[0] if len(longer) == 1 else None


def skeleton_of(name: str) -> str:
    """Return what stays of a name without case, spaces and separators."""
    return ''.join(char for char in name.casefold() if char.isalnum())
