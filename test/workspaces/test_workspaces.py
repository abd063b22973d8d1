"""Test that keys identify their workspace and nothing else does."""

import pytest

from goldcrestwharf.http1 import Request
from goldcrestwharf.workspaces import (
    Authenticator,
    SharedKeyError,
    UnknownKeyError,
    Workspace,
    WorkspaceTable,
    digest_key,
)

TARGET_HOST = '10.0.0.7'
ALPHA = Workspace(
    name='alpha',
    key_digests=frozenset((digest_key(b'key-a'), digest_key(b'key-b'))),
)
BETA = Workspace(name='beta', key_digests=frozenset((digest_key(b'key-c'),)))
TABLE = WorkspaceTable(workspaces=(ALPHA, BETA))
AUTHENTICATOR = Authenticator(target_host=TARGET_HOST)


def make_request(*credentials: bytes, caller: str = '10.0.0.9') -> Request:
    return Request(
        method=b'GET',
        target=b'/menu/today',
        headers=[(b'Authorization', one) for one in credentials],
        body=b'',
        received_at=0,
        has_body=False,
        wants_close=False,
        caller=caller,
    )


def find_workspace(
    *credentials: bytes, is_public: bool = False, caller: str = '10.0.0.9'
) -> Workspace | None:
    req = make_request(*credentials, caller=caller)
    found = AUTHENTICATOR.authenticate(req, TABLE, is_public=is_public)
    return found.workspace


@pytest.mark.parametrize(
    ('credentials', 'workspace'),
    [
        (b'Bearer key-a', ALPHA),
        (b'Bearer key-b', ALPHA),
        (b'bearer  key-c ', BETA),
    ],
)
def test_key_identifies_its_workspace(
    credentials: bytes, workspace: Workspace
) -> None:
    assert find_workspace(credentials) is workspace


@pytest.mark.parametrize(
    'credentials',
    [
        (),
        (b'',),
        (b'Bearer',),
        (b'Bearer key-z',),
        (b'Bearer KEY-A',),
        (b'Basic key-a',),
        (b'key-a',),
        (b'Bearer key-a', b'Bearer key-c'),
    ],
)
def test_request_without_one_valid_key_is_unauthorized(
    credentials: tuple[bytes, ...],
) -> None:
    with pytest.raises(UnknownKeyError):
        find_workspace(*credentials)
    assert find_workspace(*credentials, is_public=True) is None


def test_call_of_the_local_target_needs_no_key() -> None:
    assert find_workspace(caller=TARGET_HOST) is None
    with pytest.raises(UnknownKeyError):
        find_workspace(b'Bearer key-z', caller=TARGET_HOST)


def test_workspaces_with_the_same_key_are_refused() -> None:
    gamma = Workspace(name='gamma', key_digests=BETA.key_digests)
    with pytest.raises(SharedKeyError):
        WorkspaceTable(workspaces=(BETA, gamma))
