"""Bound what a target, a service and a caller may use."""

from goldcrestwharf.limits._standin import Deadline, RetryBudget, SlotGate

__all__ = ('Deadline', 'RetryBudget', 'SlotGate')
