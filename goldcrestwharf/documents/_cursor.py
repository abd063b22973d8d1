"""The field that a reader is at, and how it reports problems."""

from typing import Final

import attrs

from goldcrestwharf.documents._problem import Place
from goldcrestwharf.documents._report import Report
from goldcrestwharf.documents._tree import Section


class Invalid:
    """Type of :data:`INVALID`."""


#: Returned by a reader in place of a value after it reported a problem.
INVALID: Final = Invalid()


@attrs.frozen
class Cursor:
    """The field that a reader is at, and the report for its problems.

    ``path`` is the field's path within the object that ``root`` names.
    """

    report: Report
    root: Place
    path: str = ''

    def within(self, field: str) -> 'Cursor':
        """Return the cursor at ``field`` of the current section."""
        path = f'{self.path}.{field}' if self.path else field
        return Cursor(self.report, self.root, path)

    def refuse(self, reason: str, remedy: str) -> Invalid:
        """Report a problem; ``reason`` is prefixed with the field's path."""
        place = attrs.evolve(self.root, field=self.path)
        message = f'{self.path} {reason}' if self.path else reason
        self.report.add(place, message, remedy)
        return INVALID


def refuse_duplicate_keys(section: Section, cursor: Cursor) -> None:
    """Report each key that a section contains more than once."""
    for key in section.duplicate_keys:
        cursor.within(key).refuse('comes more than once', 'keep one of them')
