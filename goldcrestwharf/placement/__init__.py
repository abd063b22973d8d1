"""Decide which target gets a request, and whether it is sent again."""

from goldcrestwharf.placement._choice import (
    Choice,
    Demand,
    Place,
    Placement,
)
from goldcrestwharf.placement._kinds import KindBook, KindTraits
from goldcrestwharf.placement._load import LoadReport, LoadView
from goldcrestwharf.placement._repeat_budget import (
    BudgetTerms,
    RepeatBudget,
)
from goldcrestwharf.placement._split import WeightedSplit

__all__ = (
    'BudgetTerms',
    'Choice',
    'Demand',
    'KindBook',
    'KindTraits',
    'LoadReport',
    'LoadView',
    'Place',
    'Placement',
    'RepeatBudget',
    'WeightedSplit',
)
