"""Validate texts and explain common mistakes in them."""

import re
from collections.abc import Sequence

import attrs

from goldcrestwharf.documents import Place, Problem


@attrs.frozen(kw_only=True)
class KnownMistake:
    """A common mistake, the pattern that detects it and how to report it.

    ``reason`` is a phrase that follows the label of the text.
    """

    pattern: str
    reason: str
    remedy: str


@attrs.frozen(kw_only=True)
class TextFormat:
    """The format of a text: a pattern that has to match all of it.

    The first of ``mistakes`` that matches a refused text explains why; the
    last one matches every text.
    """

    pattern: str
    mistakes: Sequence[KnownMistake]

    def matches(self, text: str) -> bool:
        """Return whether ``text`` has this format."""
        return re.fullmatch(self.pattern, text) is not None

    def explain(self, text: str, label: str, place: Place) -> Problem:
        """Return the problem of ``text``, named ``label`` in the report."""
        found = next(
            mistake
            for mistake in self.mistakes
            if re.search(mistake.pattern, text)
        )
        return Problem(
            place=place,
            reason=f'{label} {found.reason}',
            remedy=found.remedy,
        )
