"""Timer service for all code that depends on time.

No package reads a clock or sleeps directly: each is given a
:class:`Timers`, so that tests can control the time.
"""

from goldcrestwharf.timers._backoff import Backoff
from goldcrestwharf.timers._manual import ManualTimers
from goldcrestwharf.timers._service import Timers, subscribe
from goldcrestwharf.timers._system import SystemTimers

__all__ = ('Backoff', 'ManualTimers', 'SystemTimers', 'Timers', 'subscribe')
