"""The roll-out of a soak run: its requests and states, and their bounds."""

import json
import math
import random
import time
from collections.abc import Callable, Iterable
from itertools import groupby

import attrs

#: First seed of the runs with a roll-out.
FIRST_SEED = 31_000

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'

SERVICE = 'kitchen'
STATUS_TOPIC = 'keyed.status'
RECORD_KEY = f'rollout/{SERVICE}'

#: Seconds from the order to its deadline.
DURATION_S = 12

RUNNING = 'running'
COMPLETED = 'completed'
ROLLED_BACK = 'rolled_back'
FINAL_STATES = frozenset((COMPLETED, ROLLED_BACK))

#: The bounds of a bad version: its share of the requests and what it may get
#: beyond, the bad answers after which it has to lose its requests, and the
#: seconds for that with the stretch for faults.
_EXPOSE_SHARE = 0.1
_EXPOSE_SLACK = 50
_MAX_BAD_ANSWERS = 50
_ROLLBACK_S = 7.5

_FAILURE_SHARE = 0.5

#: Shares of the versions that are good and that are bad from the start; the
#: others turn bad within some seconds.
_GOOD_SHARE = 0.4
_BAD_AT_ONCE_SHARE = 0.4
_MAX_GOOD_S = 4


@attrs.define(kw_only=True)
class Rollout:
    """Order for the new version, and the requests that ran since.

    The new version fails half of its requests from ``bad_after`` seconds after
    the order on, never if this is infinite.
    """

    rng: random.Random
    bad_after: float = math.inf
    clock: Callable[[], float] = time.monotonic
    states: list[str] = attrs.field(factory=list)
    _ordered_at: float = math.inf
    _reached: set[str] = attrs.field(factory=set)
    _sent_to_new: list[float] = attrs.field(factory=list)
    _exposures: int = 0
    _bad_answers: list[float] = attrs.field(factory=list)

    @property
    def is_bad(self) -> bool:
        return self.bad_after < math.inf

    @property
    def has_ended(self) -> bool:
        """Return whether the operator was shown a final state."""
        return not FINAL_STATES.isdisjoint(self.states)

    def order(self) -> bytes:
        """Begin now and return the order in the platform's format."""
        self._ordered_at = self.clock()
        document = {
            'service': SERVICE,
            'target_version': NEW_VERSION,
            'duration': f'{DURATION_S}s',
        }
        return json.dumps(document).encode()

    def read_states(self, records: Iterable[bytes]) -> None:
        """Take the states from the records of the status topic."""
        key = RECORD_KEY.encode()
        prefix = b'%c%b' % (len(key), key)
        self.states = [
            json.loads(record.removeprefix(prefix))['state']
            for record in records
            if record.startswith(prefix)
        ]

    def record_run(self, version: str, request_id: str, sent_at: float) -> None:
        """Record that a target of a version runs a request."""
        if version == NEW_VERSION:
            self._sent_to_new.append(sent_at)
        age = self.clock() - self._ordered_at
        if 0 <= age <= DURATION_S:
            self._reached.add(request_id)
            self._exposures += version == NEW_VERSION

    def fails(self, version: str) -> bool:
        """Return whether a target of a version answers with a failure now."""
        now = self.clock()
        is_bad = now - self._ordered_at >= self.bad_after
        if version != NEW_VERSION or not is_bad:
            return False
        if self.rng.random() >= _FAILURE_SHARE:
            return False
        self._bad_answers.append(now)
        return True

    def list_violations(self) -> list[str]:
        """Return the violations that depend on no duration.

        A version that fails from the start is never judged good, however few
        of its answers a slow machine yields.
        """
        seen = [state for state, _ in groupby(self.states)]
        violations = []
        after_running = seen[1:] if seen[:1] == [RUNNING] else seen
        if not _is_end(after_running):
            violations.append(f'states of the roll-out: {seen}')
        if self.bad_after == 0:
            violations.extend(self._list_exposures())
        return violations

    def list_timing_violations(self) -> list[str]:
        """Return the violations that a slow machine may cause."""
        violations = [] if self.has_ended else ['the roll-out has not ended']
        if self.states and self.states[0] != RUNNING:
            # The store may be out of reach until the version is judged.
            violations.append('the roll-out ended without having run')
        if self.is_bad and self.bad_after > 0:
            violations.extend(self._list_exposures())
        if len(self._bad_answers) >= _MAX_BAD_ANSWERS:
            latest = self._bad_answers[_MAX_BAD_ANSWERS - 1] + _ROLLBACK_S
            late = sum(at > latest for at in self._sent_to_new)
            if late:
                violations.append(f'{late} late requests at a bad version')
        return violations

    def describe(self) -> str:
        """Return a line for the output of a run."""
        return (
            f'roll-out, bad after {self.bad_after:.1f} s: {self.states}, '
            f'{self._exposures} of {len(self._reached)} requests, '
            f'{len(self._bad_answers)} bad answers'
        )

    def _list_exposures(self) -> list[str]:
        violations = []
        allowed = _EXPOSE_SHARE * len(self._reached) + _EXPOSE_SLACK
        if self._exposures > allowed:
            violations.append(
                f'{self._exposures} of {allowed} requests at a bad version'
            )
        if COMPLETED in self.states:
            violations.append('the roll-out of a bad version was completed')
        return violations


def make_rollout(seed: int) -> Rollout | None:
    """Return the roll-out of a run, if the seed has one."""
    if seed < FIRST_SEED:
        return None
    rng = random.Random(seed)
    drawn = rng.random()
    if drawn < _GOOD_SHARE:
        return Rollout(rng=rng)
    if drawn < _GOOD_SHARE + _BAD_AT_ONCE_SHARE:
        return Rollout(rng=rng, bad_after=0)
    return Rollout(rng=rng, bad_after=rng.uniform(1, _MAX_GOOD_S))


def _is_end(states: list[str]) -> bool:
    """Return whether states are at most one, and that a final one."""
    return not states or (len(states) == 1 and states[0] in FINAL_STATES)
