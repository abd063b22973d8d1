"""Define the messages by which a configuration travels between daemons.

A follower fetches with what it runs; the relay answers as soon as it has
something newer, or says after a while that it has not.
"""

import attrs

from goldcrestwharf.wire import message


@message('distribution.fetch')
@attrs.frozen(kw_only=True)
class Fetch:
    """Ask for what is newer than ``version``.

    ``version`` is empty for a daemon that runs nothing yet. The relay holds
    the answer for up to ``wait_ms`` milliseconds while it has no news.
    """

    version: str = ''
    digest: str = ''
    wait_ms: int = 0


@message('distribution.step')
@attrs.frozen(kw_only=True)
class Step:
    """Lead from the version ``base`` to ``version``, whose digest follows.

    ``delta`` is an encoded :class:`goldcrestwharf.objects.ObjectDelta` and
    ``rules`` the revision under which the log accepted the version.
    """

    base: str
    version: str
    digest: str
    delta: bytes
    rules: int = 1


@message('distribution.full')
@attrs.frozen(kw_only=True)
class Full:
    """Answer a fetch with a whole configuration, compressed.

    ``rules`` is the revision under which the log accepted the version.
    """

    version: str
    digest: str
    objects: bytes
    rules: int = 1


@message('distribution.no_news')
@attrs.frozen(kw_only=True)
class NoNews:
    """Answer that the relay runs ``version``, which is not newer."""

    version: str = ''


@message('distribution.busy')
@attrs.frozen(kw_only=True)
class Busy:
    """Refuse a fetch and say when to come back, in milliseconds."""

    retry_after_ms: int
