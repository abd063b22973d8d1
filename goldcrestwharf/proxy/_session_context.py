"""Callbacks of a daemon for the streams that others open to it."""

from collections.abc import Callable

import attrs

from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.proxy._document_messages import Document, VersionUpdate
from goldcrestwharf.proxy._peer_messages import (
    Hello,
    KnownPeers,
    KnownPeersRequest,
    TargetState,
)
from goldcrestwharf.proxy._quota_messages import QuotaGrant, QuotaRequest
from goldcrestwharf.proxy._rollout_messages import (
    RolloutEvidence,
    RolloutNotice,
)
from goldcrestwharf.proxy._transfers import Transfers


@attrs.frozen(kw_only=True)
class SessionContext:
    """Callbacks of the daemon for its sessions.

    ``memory_bytes`` is the limit on the memory of the process.
    """

    make_hello: Callable[[], Hello]
    receive_hello: Callable[[Hello], None]
    make_known_peers: Callable[[KnownPeersRequest], KnownPeers | None]
    describe_target: Callable[[], TargetState]
    find_document: Callable[[int], Document | None]
    make_version_update: Callable[[], VersionUpdate]
    find_report: Callable[[], LoadReport]
    make_crash_reports: Callable[[], CrashReports | None]
    grant_tokens: Callable[[str, QuotaRequest], QuotaGrant | None]
    make_rollout_notice: Callable[[], RolloutNotice | None]
    receive_evidence: Callable[[RolloutEvidence], None]
    find_pause: Callable[[], float]
    clock: Callable[[], float]
    timeouts: AnswerTimeouts
    transfers: Transfers
    memory_bytes: float
