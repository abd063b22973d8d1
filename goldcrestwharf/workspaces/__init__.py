"""Workspaces of callers, and the keys by which callers are recognized."""

from goldcrestwharf.workspaces._authentication import (
    AUTHORIZATION,
    Authenticator,
    Caller,
    UnknownKeyError,
)
from goldcrestwharf.workspaces._workspace import (
    SharedKeyError,
    Workspace,
    WorkspaceTable,
    digest_key,
)

__all__ = (
    'AUTHORIZATION',
    'Authenticator',
    'Caller',
    'SharedKeyError',
    'UnknownKeyError',
    'Workspace',
    'WorkspaceTable',
    'digest_key',
)
