"""Handlers of the messages that other daemons send over their streams."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from goldcrestwharf.proxy._config_exchange import Peer
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.proxy._document_messages import Document
from goldcrestwharf.proxy._peer_discovery import handle_known_peers
from goldcrestwharf.proxy._peer_messages import KnownPeers
from goldcrestwharf.proxy._quota_messages import QuotaGrant
from goldcrestwharf.proxy._rollout_messages import RolloutNotice

#: Called with the peer that sent a message, and the message.
MessageHandler = Callable[[Peer, Any], None]


def make_message_handlers(core: Core) -> Mapping[type, MessageHandler]:
    """Return the handlers by the type of the message."""
    return MappingProxyType(
        {
            Document: core.config_exchange.receive,
            QuotaGrant: lambda _, grant: core.quotas.receive(grant),
            KnownPeers: lambda _, known: handle_known_peers(core, known),
            RolloutNotice: core.rollouts.receive_notice,
            CrashReports: lambda _, reports: core.crash_exchange.receive(
                reports
            ),
        },
    )
