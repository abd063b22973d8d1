"""Limits of workspaces over all daemons: who grants tokens, and how many."""

from goldcrestwharf.quotas._account import Account, Allotment, Limit
from goldcrestwharf.quotas._account_book import (
    AccountBook,
    MemberView,
    TokenRequest,
)
from goldcrestwharf.quotas._rendezvous import RendezvousOrder, rank_names
from goldcrestwharf.quotas._share import Reach, find_share
from goldcrestwharf.quotas._stock import MAX_QUEUE_WAIT_S, TokenStock
from goldcrestwharf.quotas._token import Grant, Token

__all__ = (
    'MAX_QUEUE_WAIT_S',
    'Account',
    'AccountBook',
    'Allotment',
    'Grant',
    'Limit',
    'MemberView',
    'Reach',
    'RendezvousOrder',
    'Token',
    'TokenRequest',
    'TokenStock',
    'find_share',
    'rank_names',
)
