"""Match texts against the mistakes that people make in them."""

import re
from collections.abc import Sequence

import attrs

from goldcrestwharf.documents import Place, Problem


@attrs.frozen(kw_only=True)
class Mistake:
    """Describe a mistake in a text by a pattern that finds it.

    ``reason`` follows the name of what the text stands for.
    """

    pattern: str
    reason: str
    remedy: str


@attrs.frozen(kw_only=True)
class Form:
    """Describe the form of a text: the pattern it matches as a whole.

    The first of ``mistakes`` that is found in a text of another form says
    why it is refused; the last one is found in every text.
    """

    pattern: str
    mistakes: Sequence[Mistake]

    def accepts(self, written: str) -> bool:
        """Tell whether ``written`` has the form."""
        return re.fullmatch(self.pattern, written) is not None

    def explain(self, written: str, label: str, place: Place) -> Problem:
        """Return what is wrong with ``written``, called ``label``."""
        found = next(
            mistake
            for mistake in self.mistakes
            if re.search(mistake.pattern, written)
        )
        return Problem(
            place=place,
            reason=f'{label} {found.reason}',
            remedy=found.remedy,
        )
