"""Define the outcomes of a publish."""

import attrs

from goldcrestwharf.publishing._differences import Difference
from goldcrestwharf.replay import Origin, Version


@attrs.frozen(kw_only=True)
class Published:
    """The version that a publish created.

    ``is_repeat`` is true if an earlier attempt has created it.
    """

    id: str
    version: Version
    is_repeat: bool = False


@attrs.frozen(kw_only=True)
class Unchanged:
    """The outcome if the active set, at ``version``, is the same."""

    version: Version


@attrs.frozen(kw_only=True)
class Refused:
    """The reasons why a set can't be published, a line for each problem."""

    problems: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Winner:
    """A version that was published first, and what it changed."""

    version: Version
    origin: Origin
    differences: tuple[Difference, ...]


@attrs.frozen(kw_only=True)
class Superseded:
    """The outcome if the configuration was changed since ``base``.

    ``winners`` holds the versions published since then, as far as the log
    retains them.
    """

    base: Version | None
    current: Version | None
    winners: tuple[Winner, ...]


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """The outcome if it could not be determined from the log.

    The same publish may be sent again: it takes effect at most once, because
    its base version is active only once.
    """

    id: str
    base: Version | None
    reason: str


Outcome = Published | Unchanged | Refused | Superseded | OutcomeUnknown
