"""Publish complete sets of objects and report the outcome."""

from goldcrestwharf.publishing._differences import (
    Action,
    Difference,
    list_differences,
    list_packed_differences,
)
from goldcrestwharf.publishing._documents import (
    OutcomeDocument,
    OutcomeKind,
    PublishRequest,
    WinnerDocument,
    decode_document,
    encode_document,
)
from goldcrestwharf.publishing._history import HistoryEntry, list_history
from goldcrestwharf.publishing._outcomes import (
    Outcome,
    OutcomeUnknown,
    Published,
    Refused,
    Superseded,
    Unchanged,
    Winner,
)
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.publishing._publisher import Publisher
from goldcrestwharf.publishing._request import publish_text
from goldcrestwharf.publishing._settings import PublishingSettings

__all__ = (
    'Action',
    'Difference',
    'HistoryEntry',
    'Outcome',
    'OutcomeDocument',
    'OutcomeKind',
    'OutcomeUnknown',
    'Proposal',
    'PublishRequest',
    'Published',
    'Publisher',
    'PublishingSettings',
    'Refused',
    'Superseded',
    'Unchanged',
    'Winner',
    'WinnerDocument',
    'decode_document',
    'encode_document',
    'list_differences',
    'list_history',
    'list_packed_differences',
    'publish_text',
)
