"""Suggest known names similar to a misspelled one."""

import difflib
import functools
from collections.abc import Iterable

_MIN_SIMILARITY = 0.6
_MIN_PREFIX_CHARS = 3

#: A search compares a name with all known names, which would take too long
#: for a set with thousands of wrong names: only the first ones are searched.
_MAX_SEARCHES = 25


class Suggester:
    """Suggestions from a set of known names."""

    def __init__(self, *, names: Iterable[str]) -> None:
        """Make a suggester for the known ``names``."""
        self._known = names
        self._searches = 0

    def find(self, unknown: str) -> str | None:
        """Return the known name most similar to ``unknown``, if any."""
        same = self._by_normalized_name.get(normalize_name(unknown))
        if same is not None or self._searches == _MAX_SEARCHES:
            return same
        self._searches += 1
        similar = difflib.get_close_matches(
            unknown, self._names, 1, _MIN_SIMILARITY
        )
        return similar[0] if similar else self._find_by_prefix(unknown)

    def remedy(self, unknown: str, otherwise: str) -> str:
        """Return ``did you mean`` with a name, or else ``otherwise``."""
        similar = self.find(unknown)
        return f'did you mean "{similar}"?' if similar else otherwise

    @functools.cached_property
    def _names(self) -> list[str]:
        return sorted(self._known)

    @functools.cached_property
    def _by_normalized_name(self) -> dict[str, str]:
        return {normalize_name(name): name for name in self._names}

    def _find_by_prefix(self, unknown: str) -> str | None:
        if len(unknown) < _MIN_PREFIX_CHARS:
            return None
        longer = [name for name in self._names if name.startswith(unknown)]
        return longer[0] if len(longer) == 1 else None


def normalize_name(name: str) -> str:
    """Return ``name`` casefolded, without spaces and separators."""
    return ''.join(char for char in name.casefold() if char.isalnum())
