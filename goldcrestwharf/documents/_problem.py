"""Problems of a document and their remedies."""

import enum
from collections.abc import Iterator

import attrs


class Severity(enum.StrEnum):
    """Whether a problem causes the document to be refused."""

    REFUSAL = 'refusal'
    WARNING = 'warning'


@attrs.frozen(kw_only=True)
class Place:
    """A place in a document: the kind and name of an object, and a field in it.

    ``name`` is empty for an object without a name, such as the settings, and
    ``field`` is empty for the object as a whole. The field of a section is
    written with dots, as in ``peers.heartbeat_ms``.
    """

    kind: str
    name: str = ''
    field: str = ''

    def __str__(self) -> str:
        """Return the object's kind and name, as in ``route "menu-web"``."""
        return f'{self.kind} "{self.name}"' if self.name else self.kind

    def within(self, field: str) -> 'Place':
        """Return the place of a field inside this one."""
        path = f'{self.field}.{field}' if self.field else field
        return attrs.evolve(self, field=path)


@attrs.frozen(kw_only=True)
class Problem:
    """A problem: its place, its reason, and how to correct it.

    ``related`` are the further places that the problem depends on.
    """

    place: Place
    reason: str
    remedy: str
    severity: Severity = Severity.REFUSAL
    related: tuple[Place, ...] = ()

    def __str__(self) -> str:
        """Return the problem as one line of printable characters."""
        line = f'{self.place}: {self.reason}; {self.remedy}'
        if self.severity is Severity.WARNING:
            line = f'warning: {line}'
        return ''.join(map(_printable, line))

    @property
    def dependencies(self) -> Iterator[Place]:
        """Yield the places that the problem depends on, and their objects."""
        for place in (self.place, *self.related):
            yield place
            yield attrs.evolve(place, field='')

    @property
    def is_refusal(self) -> bool:
        """Return whether the document is refused because of this."""
        return self.severity is Severity.REFUSAL


Problems = tuple[Problem, ...]


def drop_dependent_problems(later: Problems, earlier: Problems) -> Problems:
    """Return ``later`` without those that depend on ``earlier`` problems.

    A field that can't be read gets its default and an object that can't be
    read is empty. Later checks would report problems of these substitutes,
    which aren't in the document.
    """
    places = {problem.place for problem in earlier}
    return tuple(
        problem for problem in later if places.isdisjoint(problem.dependencies)
    )


def sort_problems(problems: Problems) -> Problems:
    """Return the refusals, then the warnings, each sorted by object."""
    return tuple(sorted(problems, key=_sort_key))


def refusals(problems: Problems) -> Problems:
    """Return the problems because of which the document is refused."""
    return tuple(problem for problem in problems if problem.is_refusal)


def _printable(char: str) -> str:
    return char if char.isprintable() else ascii(char)[1:-1]


def _sort_key(problem: Problem) -> tuple[bool, str, str]:
    place = problem.place
    return (not problem.is_refusal, place.kind, place.name)
