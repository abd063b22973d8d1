"""Define the messages that carry configurations between daemons.

A follower sends a fetch with its version; the relay answers as soon as it has
a newer one, or after a timeout that it has none.
"""

import attrs

from goldcrestwharf.wire import message


@message('distribution.fetch')
@attrs.frozen(kw_only=True)
class Fetch:
    """A request for what is newer than ``version``.

    ``version`` is empty for a daemon without a configuration. The relay
    delays the answer by up to ``wait_ms`` milliseconds while it has nothing
    newer.
    """

    version: str = ''
    digest: str = ''
    wait_ms: int = 0


@message('distribution.step')
@attrs.frozen(kw_only=True)
class Step:
    """An answer with the delta from the version ``base`` to ``version``.

    ``digest`` is that of ``version``, ``delta`` an encoded
    :class:`goldcrestwharf.objects.ObjectDelta` and ``rules`` the revision of
    the rules under which the version was accepted. ``log_id`` is the identity
    of the log that created it, empty if it is not known.
    """

    base: str
    version: str
    digest: str
    delta: bytes
    rules: int = 1
    log_id: str = ''


@message('distribution.full')
@attrs.frozen(kw_only=True)
class Full:
    """An answer with a whole configuration, compressed.

    ``rules`` is the revision of the rules under which the version was
    accepted. ``log_id`` is the identity of the log that created it, empty if
    it is not known.
    """

    version: str
    digest: str
    objects: bytes
    rules: int = 1
    log_id: str = ''


@message('distribution.no_news')
@attrs.frozen(kw_only=True)
class NoNews:
    """An answer that the relay runs ``version``, which is not newer."""

    version: str = ''


@message('distribution.busy')
@attrs.frozen(kw_only=True)
class Busy:
    """A refusal of a fetch, with the milliseconds until a retry."""

    retry_after_ms: int
