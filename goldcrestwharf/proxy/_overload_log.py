"""Log of the standing overloads of the local target."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import SlotScheduler
from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)


@attrs.define(kw_only=True, eq=False)
class OverloadLog:
    """Log with one line at the begin and one at the end of each overload.

    Nothing is logged where ``adapts`` returns false.
    """

    scheduler: SlotScheduler
    adapts: Callable[[], bool]
    _is_overloaded: bool = attrs.field(default=False, init=False)

    def update(self) -> None:
        """Log a change since the last call."""
        is_overloaded = self.adapts() and self.scheduler.is_overloaded
        if is_overloaded is self._is_overloaded:
            return
        self._is_overloaded = is_overloaded
        _log.note(
            'target.overload',
            state='begins' if is_overloaded else 'ends',
            busy=self.scheduler.busy,
            slots=self.scheduler.slots,
        )
