"""Decisions about large bodies on links with little bandwidth.

The receiver of bodies grants bytes over all its senders together, the sender
writes pieces as granted, and both keep to the rate of their own link.
"""

from goldcrestwharf.transfers._answer_sizes import AnswerSizes
from goldcrestwharf.transfers._budget import AnswerMemory, BodyBudget
from goldcrestwharf.transfers._caller_memory import CallerMemory, CallerShare
from goldcrestwharf.transfers._grants import GrantScheduler, IncomingTransfer
from goldcrestwharf.transfers._link_pace import PIECE_BYTES, LinkPace
from goldcrestwharf.transfers._rank import TransferRank
from goldcrestwharf.transfers._response_memory import (
    RefusedResponse,
    ResponseMemory,
    ResponseShare,
)
from goldcrestwharf.transfers._send_queue import (
    Channel,
    OutgoingTransfer,
    SendQueue,
)

#: Largest body, in bytes, that is sent whole within its message.
MAX_WHOLE_BYTES = 8192

__all__ = (
    'MAX_WHOLE_BYTES',
    'PIECE_BYTES',
    'AnswerMemory',
    'AnswerSizes',
    'BodyBudget',
    'CallerMemory',
    'CallerShare',
    'Channel',
    'GrantScheduler',
    'IncomingTransfer',
    'LinkPace',
    'OutgoingTransfer',
    'RefusedResponse',
    'ResponseMemory',
    'ResponseShare',
    'SendQueue',
    'TransferRank',
)
