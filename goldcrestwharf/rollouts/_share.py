"""Choice of the version for an attempt."""

import hashlib
import math
import random
from collections.abc import Collection, Sequence
from functools import lru_cache
from typing import Protocol, TypeVar

from goldcrestwharf.rollouts._order import Phase, RolloutState, RolloutTerms
from goldcrestwharf.rollouts._registry import VersionedTarget, VersionRegistry
from goldcrestwharf.rollouts._table import RolloutTable

#: Fraction of the permitted exposure that is used; the rest is for requests
#: that a target runs although its entry gave them up.
_USED_FRACTION = 0.8

#: Attempts that may be saved up for the new version, as while the controller
#: is silent.
_MAX_CREDIT = 1.5

_MAX_CACHED_RANKS = 4096


class TrialTarget(VersionedTarget, Protocol):
    """Target that a trial may use."""

    @property
    def daemon(self) -> str:
        """Return the name of the daemon beside the target."""

    @property
    def instance_id(self) -> str:
        """Return the id of the target."""

    @property
    def is_suspect(self) -> bool:
        """Return whether the daemon doesn't answer at present."""


_TargetT = TypeVar('_TargetT', bound=TrialTarget)


class VersionShare:
    """Split of the attempts of this daemon between the versions of a service.

    In a trial, one attempt at the new version is earned by so many requests
    of the service that were run that the total over all daemons stays within
    the share. Each daemon starts with a random part of an attempt, so that
    daemons with few requests contribute as well.
    """

    def __init__(
        self,
        *,
        table: RolloutTable,
        registry: VersionRegistry,
        terms: RolloutTerms,
        rng: random.Random,
    ) -> None:
        """Follow the phases in ``table`` within ``terms``."""
        self._table = table
        self._registry = registry
        self._share = terms.expose_share * _USED_FRACTION
        self._rng = rng
        self._credits: dict[str, float] = {}
        table.watch(self._handle_change)

    def select(
        self,
        service: str,
        targets: list[_TargetT],
        tried: Collection[str] = (),
    ) -> list[_TargetT]:
        """Return the targets that the next attempt may go to.

        ``tried`` names the daemons that were asked before.
        """
        state = self._table.find(service)
        if state is None:
            return self._registry.select(service, targets)
        old = self._registry.select(service, targets, state.order.version)
        if state.phase is Phase.MOVING:
            return self._select_moving(state, old, targets)
        if state.phase is Phase.TRIAL and self._may_try(state):
            count = count_trial_targets(len(old), self._share)
            new = choose_trial_targets(
                _find_new(state, targets), count, state.rotation
            )
            if not new:
                # Entries that saved up would all send at once later.
                self._credits[service] = self._rng.random()
            untried = [one for one in new if one.daemon not in tried]
            if untried:
                self._credits[service] -= 1
                return untried
        return old

    def record_run(self, service: str) -> None:
        """Count a request that a target of the service has run."""
        credit = self._credits.get(service)
        if credit is not None:
            self._credits[service] = min(credit + self._share, _MAX_CREDIT)

    def _may_try(self, state: RolloutState) -> bool:
        service = state.order.service
        return (
            self._credits.get(service, 0) >= 1
            and self._table.has_lease(service)
            and not self._registry.is_established(service, state.order.version)
        )

    def _select_moving(
        self,
        state: RolloutState,
        old: list[_TargetT],
        targets: Sequence[_TargetT],
    ) -> list[_TargetT]:
        """Prefer the new targets while the controller is heard."""
        new = _find_new(state, targets)
        if self._table.has_lease(state.order.service):
            return new or old
        return old or new

    def _handle_change(
        self, before: RolloutState | None, state: RolloutState
    ) -> None:
        service, version = state.order.service, state.order.version
        if before is None or before.order.identity != state.order.identity:
            self._registry.begin_order(service, version)
            self._credits[service] = self._rng.random()
        if state.phase is Phase.COMPLETED:
            self._registry.complete(service, version)
        elif state.phase is Phase.ROLLED_BACK:
            self._registry.reject(service, version)
        if state.phase is not Phase.TRIAL:
            self._credits.pop(service, None)


def _find_new(
    state: RolloutState, targets: Sequence[_TargetT]
) -> list[_TargetT]:
    version = state.order.version
    return [one for one in targets if one.version == version]


def count_trial_targets(old: int, share: float) -> int:
    """Return how many new targets bear a share of the load of the old ones."""
    return max(math.ceil(old * share), 1)


def choose_trial_targets(
    targets: Sequence[_TargetT], count: int, rotation: int
) -> list[_TargetT]:
    """Return the targets of the trial, the same at all daemons.

    Each ``rotation`` takes the next ones, so that one slow machine doesn't
    stand for the version.
    """
    ready = [one for one in targets if not one.is_draining]
    sound = [one for one in ready if not one.is_suspect] or ready
    ranked = sorted(sound, key=lambda one: _find_rank(one.instance_id))
    first = rotation * count % len(ranked) if ranked else 0
    return (ranked[first:] + ranked[:first])[:count]


@lru_cache(maxsize=_MAX_CACHED_RANKS)
def _find_rank(instance_id: str) -> bytes:
    return hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
