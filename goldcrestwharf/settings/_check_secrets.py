"""Checks that secrets can't be guessed. No message contains a secret."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

#: Value of the secrets in the default file.
PLACEHOLDER = 'replace-me'

_MIN_SECRET_CHARS = 32
_MIN_DIFFERENT_CHARS = 8
_REMEDY = (
    'make one with '
    "python3 -c 'import secrets; print(secrets.token_urlsafe(32))'"
)


@check
def find_weak_secrets(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for each secret that is easy to guess."""
    yield from _check_strength('cluster_key', cfg.cluster_key)
    yield from _check_strength('admin_token', cfg.admin_token)


@check
def find_shared_secret(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem if both secrets are the same."""
    token = cfg.admin_token
    if token == cfg.cluster_key and token != PLACEHOLDER:
        yield Problem(
            place=SETTINGS.within('admin_token'),
            reason='admin_token is the same as cluster_key',
            remedy=_REMEDY,
            related=(SETTINGS.within('cluster_key'),),
        )


def _check_strength(field: str, secret: str) -> Iterator[Problem]:
    weakness = _describe_weakness(secret)
    if weakness:
        yield Problem(
            place=SETTINGS.within(field),
            reason=f'{field} {weakness}',
            remedy=_REMEDY,
        )


def _describe_weakness(secret: str) -> str:
    if secret == PLACEHOLDER:
        return 'is still the one of the default file'
    if len(secret) < _MIN_SECRET_CHARS:
        return f'has fewer than {_MIN_SECRET_CHARS} characters'
    if len(set(secret)) < _MIN_DIFFERENT_CHARS:
        return f'has fewer than {_MIN_DIFFERENT_CHARS} different characters'
    if secret in (secret + secret)[1:-1]:
        return 'is a repetition of a shorter text'
    return ''
