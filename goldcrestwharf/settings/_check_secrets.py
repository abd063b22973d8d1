"""Check that secrets can't be guessed; no message shows one."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

#: What the default file has in place of a secret.
PLACEHOLDER = 'replace-me'

_MIN_SECRET_CHARS = 32
_MIN_DIFFERENT_CHARS = 8
_REMEDY = (
    'make one with '
    "python3 -c 'import secrets; print(secrets.token_urlsafe(32))'"
)


@check
def find_weak_secrets(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each secret that is easily guessed."""
    yield from _find_weakness('cluster_key', cfg.cluster_key)
    yield from _find_weakness('admin_token', cfg.admin_token)


@check
def find_shared_secret(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem if one secret serves two ends."""
    token = cfg.admin_token
    if token == cfg.cluster_key and token != PLACEHOLDER:
        yield Problem(
            place=SETTINGS.within('admin_token'),
            reason='admin_token is the same as cluster_key',
            remedy=_REMEDY,
            related=(SETTINGS.within('cluster_key'),),
        )


def _find_weakness(field: str, written: str) -> Iterator[Problem]:
    weakness = _weakness_of(written)
    if weakness:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} {weakness}',
            remedy=_REMEDY,
        )


def _weakness_of(written: str) -> str:
    if written == PLACEHOLDER:
        return 'is still the one of the default file'
    if len(written) < _MIN_SECRET_CHARS:
        return f'has fewer than {_MIN_SECRET_CHARS} characters'
    if len(set(written)) < _MIN_DIFFERENT_CHARS:
        return f'has fewer than {_MIN_DIFFERENT_CHARS} different characters'
    if written in (written + written)[1:-1]:
        return 'repeats a shorter text'
    return ''
