"""Validate and activate configurations received from other daemons."""

import logging

from goldcrestwharf.distribution._messages import Full, Step
from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.objects import (
    ObjectSet,
    UnknownRulesError,
    apply_delta,
    decode_delta,
    decode_objects,
    digest_of,
    find_rules,
)
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version

_log = logging.getLogger(__name__)


class Adopter:
    """The validation of what a relay sent before it goes to the holder.

    ``needs_full`` is true after a step that couldn't be applied, until a
    full snapshot has been accepted. ``last_error`` is the reason of the last
    refusal. A version under rules of a later release is not accepted: like a
    reader of the log, this daemon stays on its version until it is upgraded.
    """

    def __init__(self, *, holder: SnapshotHolder) -> None:
        """Offer valid configurations to ``holder``."""
        self.needs_full = False
        self.last_error = ''
        self._holder = holder

    def is_current(self, version: str) -> bool:
        """Return whether ``version`` or a later one is active."""
        current = self._holder.snapshot
        return current is not None and current.version >= Version.parse(version)

    def apply_step(self, step: Step) -> bool:
        """Apply ``step`` to the active set; return whether it was activated."""
        current = self._holder.snapshot
        if current is None or str(current.version) != step.base:
            # Another source was faster; the step applies to an older base.
            return False
        try:
            objects = apply_delta(current.objects, decode_delta(step.delta))
        except GoldcrestwharfError as exc:
            return self._refuse(step.version, str(exc))
        return self._offer(step, objects)

    def apply_full(self, full: Full) -> bool:
        """Apply a whole configuration; return whether it was activated."""
        try:
            objects = decode_objects(full.objects)
        except GoldcrestwharfError as exc:
            return self._refuse(full.version, str(exc))
        return self._offer(full, objects)

    def _offer(self, received: Step | Full, objects: ObjectSet) -> bool:
        if digest_of(objects) != received.digest:
            return self._refuse(received.version, 'the digest does not match')
        self.needs_full = False
        try:
            find_rules(received.rules)
        except UnknownRulesError as exc:
            return self._report_unsupported(received.version, str(exc))
        snapshot = Snapshot(
            version=Version.parse(received.version),
            digest=received.digest,
            objects=objects,
            rules=received.rules,
            log_id=received.log_id,
        )
        return self._holder.offer(snapshot)

    def _report_unsupported(self, version: str, reason: str) -> bool:
        self.last_error = f'version {version} from a relay: {reason}'
        _log.warning('distribution.halted version=%s', version)
        return False

    def _refuse(self, version: str, reason: str) -> bool:
        self.needs_full = True
        self.last_error = f'version {version} from a relay: {reason}'
        _log.error('distribution.refused version=%s reason=%s', version, reason)
        return False
