"""Point at the spot of a document that is being read."""

from typing import Final

import attrs

from goldcrestwharf.documents._problem import Place
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._tree import Section


class Unusable:
    """Stand for a field that can't be used; see :data:`UNUSABLE`."""


#: What a reader returns after it has reported a problem.
UNUSABLE: Final = Unusable()


@attrs.frozen
class Cursor:
    """Point at a field and report problems there.

    ``path`` is the field within the object that ``root`` names.
    """

    report: Report
    root: Place
    path: str = ''

    def within(self, field: str) -> 'Cursor':
        """Return the cursor at a field of the section pointed at."""
        path = f'{self.path}.{field}' if self.path else field
        return Cursor(self.report, self.root, path)

    def refuse(self, reason: str, remedy: str) -> Unusable:
        """Report a problem whose ``reason`` follows the field's name."""
        place = attrs.evolve(self.root, field=self.path)
        named = f'{self.path} {reason}' if self.path else reason
        self.report.add(place, named, remedy)
        return UNUSABLE


def refuse_duplicates(section: Section, cursor: Cursor) -> None:
    """Report each key that came twice in a section."""
    for key in section.duplicates:
        cursor.within(key).refuse('comes more than once', 'keep one of them')
