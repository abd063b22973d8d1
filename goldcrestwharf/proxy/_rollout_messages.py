"""Messages that carry the states of roll-outs and the evidence of targets."""

import itertools
from collections.abc import Iterator
from typing import Any

import attrs

from goldcrestwharf.proxy._codec import message
from goldcrestwharf.proxy._field_types import have_types, make_checks
from goldcrestwharf.rollouts import (
    Phase,
    RolloutOrder,
    RolloutState,
    RouteEvidence,
    TargetReport,
)

#: Message numbers; they must not change.
_ROLLOUT_NOTICE = 34
_ROLLOUT_EVIDENCE = 35

_MS_PER_S = 1000


@attrs.frozen
class _PackedState:
    """State in the order of its elements; times are in milliseconds."""

    service: str
    version: str
    duration_ms: int
    offset: int
    epoch: int
    phase: int
    age_ms: int
    rotation: int = 0
    has_started: bool = False
    is_written: bool = False
    written_epoch: int = 0


#: Version, route, answers, failures, and the buckets of service times, each
#: followed by its count.
_PackedCounts = tuple[str, str, int, int, list[int]]

_STATE_FIELDS = tuple(attrs.fields_dict(_PackedState))
_STATE_CHECKS = make_checks(_PackedState)


@message(_ROLLOUT_NOTICE)
@attrs.define(kw_only=True)
class RolloutNotice:
    """States of orders; ``is_lease`` if the sender controls them."""

    states: list[tuple[Any, ...]]
    is_lease: bool = False

    def unpack(self, now: float) -> Iterator[RolloutState]:
        """Yield the states; ``now`` is the monotonic time of the receiver."""
        for elements in self.states:
            # Elements that a later release appended are left out.
            if not have_types(_STATE_CHECKS, elements):
                raise ValueError('the state of a roll-out has an odd field')
            fields = zip(_STATE_FIELDS, elements, strict=False)
            packed = _PackedState(**dict(fields))
            yield RolloutState(
                order=RolloutOrder(
                    service=packed.service,
                    version=packed.version,
                    duration=packed.duration_ms / _MS_PER_S,
                    offset=packed.offset,
                    epoch=packed.epoch,
                ),
                began_at=now - packed.age_ms / _MS_PER_S,
                phase=Phase(packed.phase),
                rotation=packed.rotation,
                has_started=packed.has_started,
                is_written=packed.is_written,
                written_epoch=packed.written_epoch,
            )


def pack_state(state: RolloutState, now: float) -> tuple[Any, ...]:
    """Return a state as an element of :class:`RolloutNotice`."""
    order = state.order
    return attrs.astuple(
        _PackedState(
            service=order.service,
            version=order.version,
            duration_ms=round(order.duration * _MS_PER_S),
            offset=order.offset,
            epoch=order.epoch,
            phase=int(state.phase),
            age_ms=round((now - state.began_at) * _MS_PER_S),
            rotation=state.rotation,
            has_started=state.has_started,
            is_written=state.is_written,
            written_epoch=state.written_epoch,
        ),
    )


@message(_ROLLOUT_EVIDENCE)
@attrs.define(kw_only=True)
class RolloutEvidence:
    """Totals of the sender's target since an order.

    The order is that of ``service`` at ``offset``.
    """

    daemon: str
    service: str
    offset: int
    in_flight: int
    routes: list[_PackedCounts]
    zone: str = ''

    def unpack(self) -> TargetReport:
        """Return the report of the target."""
        by_version: dict[str, dict[str, RouteEvidence]] = {}
        for packed in self.routes:
            version, route = packed[:2]
            routes = by_version.setdefault(version, {})
            routes[route] = _unpack_counts(packed)
        return TargetReport(
            daemon=self.daemon,
            in_flight=self.in_flight,
            by_version=by_version,
            zone=self.zone,
        )


def _unpack_counts(packed: _PackedCounts) -> RouteEvidence:
    answers, failures, times = packed[2:]
    buckets = times[::2]
    return RouteEvidence(
        answers=answers,
        failures=failures,
        times=dict(zip(buckets, times[1::2], strict=True)),
    )


def pack_counts(
    version: str, route: str, counts: RouteEvidence
) -> _PackedCounts:
    """Return counts as an element of :class:`RolloutEvidence`."""
    times = list(itertools.chain.from_iterable(counts.times.items()))
    return (version, route, counts.answers, counts.failures, times)
