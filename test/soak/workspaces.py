"""Workspaces of a soak run: their keys, their limits and what targets see."""

import time
from collections import defaultdict
from types import MappingProxyType

import attrs

from goldcrestwharf.http1 import Request

#: First seed of the runs with workspaces and large bodies.
FIRST_SEED = 30_000

#: Workspace without a limit, and one with a limit.
UNLIMITED = 'alpha'
LIMITED = 'beta'

_LIMITS = MappingProxyType(
    {
        'max_header_bytes': 16384,
        'max_body_bytes': 1_000_000,
        'header_timeout': '3000ms',
        'idle_timeout': '15s',
    },
)

#: Start of all keys, which occurs nowhere else in a request.
_KEY_PREFIX = 'soak-key-'

_RATE_PER_S = 10
_BURST = 10

#: The platform's bound of the runs of a workspace in any window.
_WINDOW_S = 5.0
_WINDOW_FACTOR = 1.1
_WINDOW_SLACK = 20

#: Seconds after a key was withdrawn from which on it admits no request: the
#: bound of a change of the configuration, with the stretch for a store that
#: was in trouble.
_WITHDRAWN_S = 7.5


@attrs.define(kw_only=True)
class Workspaces:
    """Keys in force, and the runs of the limited workspace.

    ``withdrawn`` has the monotonic time at which each former key was
    withdrawn. ``leaks`` are violations that don't depend on timing.
    """

    keys: dict[str, str] = attrs.field(factory=dict)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    leaks: list[str] = attrs.field(factory=list)
    timing_violations: list[str] = attrs.field(factory=list)
    _issued: int = 0
    _runs: dict[str, list[float]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    def __attrs_post_init__(self) -> None:
        for name in (UNLIMITED, LIMITED):
            self.rotate(name)

    def rotate(self, name: str) -> None:
        """Replace the key of a workspace; publish a configuration after it."""
        self._issued += 1
        former = self.keys.get(name)
        if former is not None:
            self.withdrawn[former] = time.monotonic()
        self.keys[name] = f'{_KEY_PREFIX}{self._issued}'

    def describe(self) -> dict[str, object]:
        """Return the parts of a configuration in the platform's format."""
        limit = {'rate_per_s': _RATE_PER_S, 'burst': _BURST}
        listed = [
            {
                'name': name,
                'api_keys': [key],
                **(limit if name == LIMITED else {}),
            }
            for name, key in self.keys.items()
        ]
        return {'tenants': listed, 'limits': dict(_LIMITS)}

    def check_run(self, req: Request, key: str) -> None:
        """Record the run of a request that was sent with ``key``."""
        now = time.monotonic()
        if _has_key(req):
            self.leaks.append(f'a target got a key with {req.path}')
        withdrawn_at = self.withdrawn.get(key)
        if withdrawn_at is not None and now - withdrawn_at > _WITHDRAWN_S:
            self.timing_violations.append(f'{key} ran after it was withdrawn')
        name = (req.find(b'tenant-id') or b'').decode()
        if name == LIMITED:
            self._check_limit(self._runs[name], now)

    def _check_limit(self, runs: list[float], now: float) -> None:
        runs.append(now)
        count = sum(at > now - _WINDOW_S for at in runs)
        allowed = (
            _RATE_PER_S * _WINDOW_S + _BURST
        ) * _WINDOW_FACTOR + _WINDOW_SLACK
        if count > allowed:
            self.timing_violations.append(
                f'{count} of {allowed} runs in a window'
            )


def _has_key(req: Request) -> bool:
    """Return whether any part of a request has a key."""
    parts = [req.target, req.body]
    for pair in req.headers:
        parts.extend(pair)
    has_header = req.find(b'authorization') is not None
    return has_header or any(_KEY_PREFIX.encode() in part for part in parts)
