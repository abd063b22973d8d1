"""Settings that the quarantine needs."""

from typing import Protocol


class QuarantineSettings(Protocol):
    """When a request is quarantined, and for how long.

    ``crash_deaths`` is the number of target deaths that it takes. A death
    counts for ``crash_memory_ms``. The quarantine lasts ``crash_verdict_ms``,
    or ``crash_doubt_ms`` while several requests share the same deaths.
    Reports reach all daemons within ``crash_settle_ms``.
    """

    @property
    def crash_deaths(self) -> int:
        """Return the deaths after which a request is quarantined."""

    @property
    def crash_memory_ms(self) -> int:
        """Return how long a death counts, in milliseconds."""

    @property
    def crash_doubt_ms(self) -> int:
        """Return the quarantine of an ambiguous request, in milliseconds."""

    @property
    def crash_settle_ms(self) -> int:
        """Return the time that reports need, in milliseconds."""

    @property
    def crash_verdict_ms(self) -> int:
        """Return the quarantine of a crashing request, in milliseconds."""

    @property
    def crash_table_size(self) -> int:
        """Return the number of requests that are kept."""
