"""Collect the problems of one document."""

from goldcrestwharf.documents._problem import Place, Problem, Problems


class Report:
    """Gather problems, so that a reader goes on after the first one."""

    def __init__(self) -> None:
        """Start without problems."""
        self._problems: list[Problem] = []

    @property
    def problems(self) -> Problems:
        """Return what was reported, in the order of the document."""
        return tuple(self._problems)

    def add(self, place: Place, reason: str, remedy: str) -> None:
        """Refuse the document because of ``reason`` at ``place``."""
        problem = Problem(place=place, reason=reason, remedy=remedy)
        self._problems.append(problem)
