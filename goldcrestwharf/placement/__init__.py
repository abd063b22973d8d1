"""Choice of the target for a request, and the budget of retries."""

from goldcrestwharf.placement._choice import (
    Candidate,
    Choice,
    Demand,
    Placement,
)
from goldcrestwharf.placement._free_slot_search import FreeSlotSearch
from goldcrestwharf.placement._load import LoadEstimate, LoadReport
from goldcrestwharf.placement._local import find_local_choice
from goldcrestwharf.placement._request_classes import (
    RequestClassStats,
    RequestClassTraits,
)
from goldcrestwharf.placement._retry_budget import (
    RetryBudget,
    RetryBudgetTerms,
)
from goldcrestwharf.placement._split import WeightedSplit

__all__ = (
    'Candidate',
    'Choice',
    'Demand',
    'FreeSlotSearch',
    'LoadEstimate',
    'LoadReport',
    'Placement',
    'RequestClassStats',
    'RequestClassTraits',
    'RetryBudget',
    'RetryBudgetTerms',
    'WeightedSplit',
    'find_local_choice',
)
