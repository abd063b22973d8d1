"""Define what may become of a publish."""

import attrs

from goldcrestwharf.publishing._differences import Difference
from goldcrestwharf.replay import Origin, Version


@attrs.frozen(kw_only=True)
class Published:
    """Report the version that a publish became.

    ``is_repeat`` is true if an earlier attempt had the effect already.
    """

    id: str
    version: Version
    is_repeat: bool = False


@attrs.frozen(kw_only=True)
class Unchanged:
    """Report that the set in force at ``version`` is the same."""

    version: Version


@attrs.frozen(kw_only=True)
class Refused:
    """Report why a set can't be published, a line for each problem."""

    problems: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Winner:
    """Describe a version that came first and what it changed."""

    version: Version
    origin: Origin
    differences: tuple[Difference, ...]


@attrs.frozen(kw_only=True)
class Superseded:
    """Report that others changed the configuration since ``base``.

    ``winners`` holds their versions since then, as far as the log keeps
    them.
    """

    base: Version | None
    current: Version | None
    winners: tuple[Winner, ...]


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """Report that the log did not show what became of a publish.

    The same publish may be sent again: it takes effect once at most,
    because its base is in force only once.
    """

    id: str
    base: Version | None
    reason: str


Outcome = Published | Unchanged | Refused | Superseded | OutcomeUnknown
