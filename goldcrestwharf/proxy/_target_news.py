"""Describe the own target to other daemons."""

from collections.abc import Callable

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._owner import Owner
from goldcrestwharf.proxy._peer_messages import TargetState
from goldcrestwharf.proxy._replies import pack_report

_log = EventLog(__name__)

_MS_PER_S = 1000


class TargetNews:
    """Tell others when the own target comes, drains, goes or returns."""

    def __init__(self, *, core: Core, owner: Owner) -> None:
        """Describe the target that ``owner`` runs."""
        self._core = core
        self._owner = owner
        self._told: tuple[str, bool] | None = None

    def describe(self) -> TargetState:
        """Return what others are told of the own target now."""
        instance = self._core.register.current
        report = pack_report(self._owner.report())
        if instance is None or not self._owner.is_reachable():
            return TargetState(
                service=self._core.cfg.service,
                instance_id='',
                is_draining=False,
                cold_ms=0,
                report=report,
            )
        cold = instance.heard_at + instance.beat.cold_left
        is_draining = instance.drains_since is not None
        return TargetState(
            service=instance.beat.service,
            instance_id=instance.beat.instance_id,
            is_draining=is_draining or self._core.shutdown.has_begun,
            cold_ms=max(round((cold - self._core.clock()) * _MS_PER_S), 0),
            report=report,
        )

    def tell_changes(self, tell: Callable[[TargetState], None]) -> None:
        """Call ``tell`` if the state differs from the one told last."""
        state = self.describe()
        facts = (state.instance_id, state.is_draining)
        if facts == self._told:
            return
        self._told = facts
        _log.note(
            'target.state',
            instance=state.instance_id,
            is_draining=state.is_draining,
            cold_ms=state.cold_ms,
        )
        tell(state)
