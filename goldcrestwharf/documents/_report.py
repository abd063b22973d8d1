"""The list of problems of one document."""

from goldcrestwharf.documents._problem import Place, Problem, Problems


class Report:
    """The problems found so far, so that reading goes on after the first."""

    def __init__(self) -> None:
        """Start without problems."""
        self._problems: list[Problem] = []

    @property
    def problems(self) -> Problems:
        """Return the reported problems in the order of the document."""
        return tuple(self._problems)

    def add(self, place: Place, reason: str, remedy: str) -> None:
        """Add a refusal of the document because of ``reason`` at ``place``."""
        problem = Problem(place=place, reason=reason, remedy=remedy)
        self._problems.append(problem)
