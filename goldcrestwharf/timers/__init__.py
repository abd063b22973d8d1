"""Offer the timer service that time-dependent parts subscribe to.

Parts never read a clock or sleep by themselves: they are given a
:class:`Timers`, so that tests can advance time by hand.
"""

from goldcrestwharf.timers._backoff import Backoff
from goldcrestwharf.timers._manual import ManualTimers
from goldcrestwharf.timers._service import Timers, subscribe
from goldcrestwharf.timers._system import SystemTimers

__all__ = ('Backoff', 'ManualTimers', 'SystemTimers', 'Timers', 'subscribe')
