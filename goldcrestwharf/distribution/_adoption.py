"""Take configurations from other daemons, whole or not at all."""

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


class Adoption:
    """Check what a relay sent and hand it to the holder.

    ``needs_full`` is true after a step that didn't fit, until a full
    snapshot has been taken. ``last_error`` says what was wrong. A version
    under rules of a later release is not taken: like a reader of the log,
    this daemon stays on what it runs until it is upgraded.
    """

    def __init__(self, *, holder: SnapshotHolder) -> None:
        """Offer what fits to ``holder``."""
        self.needs_full = False
        self.last_error = ''
        self._holder = holder

    def is_current(self, version: str) -> bool:
        """Tell whether ``version`` or a later one is run now."""
        current = self._holder.snapshot
        return current is not None and current.version >= Version.parse(version)

    def take_step(self, step: Step) -> bool:
        """Apply ``step`` to what runs; tell whether it is run now."""
        current = self._holder.snapshot
        if current is None or str(current.version) != step.base:
            # Another source was faster; the step is for an older base.
            return False
        try:
            objects = apply_delta(current.objects, decode_delta(step.delta))
        except GoldcrestwharfError as exc:
            return self._refuse(step.version, str(exc))
        return self._offer(step, objects)

    def take_full(self, full: Full) -> bool:
        """Take a whole configuration; tell whether it is run now."""
        try:
            objects = decode_objects(full.objects)
        except GoldcrestwharfError as exc:
            return self._refuse(full.version, str(exc))
        return self._offer(full, objects)

    def _offer(self, told: Step | Full, objects: ObjectSet) -> bool:
        if digest_of(objects) != told.digest:
            return self._refuse(told.version, 'the digest does not match')
        self.needs_full = False
        try:
            find_rules(told.rules)
        except UnknownRulesError as exc:
            return self._halt(told.version, str(exc))
        snapshot = Snapshot(
            version=Version.parse(told.version),
            digest=told.digest,
            objects=objects,
            rules=told.rules,
        )
        return self._holder.offer(snapshot)

    def _halt(self, version: str, reason: str) -> bool:
        self.last_error = f'version {version} from a relay: {reason}'
        _log.warning('distribution.halted version=%s', version)
        return False

    def _refuse(self, version: str, reason: str) -> bool:
        self.needs_full = True
        self.last_error = f'version {version} from a relay: {reason}'
        _log.error('distribution.refused version=%s reason=%s', version, reason)
        return False
