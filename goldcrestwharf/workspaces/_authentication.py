"""Recognition of a caller's workspace by the key of its request."""

import attrs

from goldcrestwharf.http1 import Request
from goldcrestwharf.workspaces._workspace import Workspace, WorkspaceTable

#: Header with the key, in lower case.
AUTHORIZATION = b'authorization'

_SCHEME = b'bearer'


class UnknownKeyError(Exception):
    """Raised for a request whose key belongs to no workspace."""


@attrs.frozen(kw_only=True)
class Caller:
    """Origin of a request; ``workspace`` is ``None`` for calls by a target."""

    workspace: Workspace | None = None


@attrs.frozen(kw_only=True)
class Authenticator:
    """Authentication of callers by their keys.

    ``target_host`` is the IP address of the target on this VM. Its calls
    belong to requests that were authenticated already, and carry no key.
    """

    target_host: str

    def authenticate(
        self, req: Request, workspaces: WorkspaceTable, *, is_public: bool
    ) -> Caller:
        """Return the caller of a request.

        ``is_public`` says that the route of the request needs no key. Raises
        :class:`UnknownKeyError` if it needs one and has none that is valid.
        """
        key = _find_key(req)
        workspace = None if key is None else workspaces.find_by_key(key)
        if workspace is not None or is_public:
            return Caller(workspace=workspace)
        if req.caller == self.target_host and not _has_credentials(req):
            return Caller()
        raise UnknownKeyError


def _has_credentials(req: Request) -> bool:
    return req.find(AUTHORIZATION) is not None


def _find_key(req: Request) -> bytes | None:
    """Return the key of a request, ``None`` if it is missing or ambiguous."""
    credentials = req.find_single(AUTHORIZATION)
    if credentials is None:
        return None
    scheme, _, key = credentials.strip().partition(b' ')
    if scheme.lower() != _SCHEME:
        return None
    return key.strip() or None
