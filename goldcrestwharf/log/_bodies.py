"""JSON bodies of the log's HTTP API."""

import attrs

#: Header of answers to reads: the identity of the log.
LOG_ID_HEADER = 'Log-Id'


@attrs.frozen(kw_only=True)
class AppendBody:
    """Request to append records, each in base64."""

    records: tuple[str, ...]


@attrs.frozen(kw_only=True)
class AppendAnswer:
    """Answer to an append: the offset of its first record."""

    offset: int


@attrs.frozen(kw_only=True)
class RecordBody:
    """Record of a page; ``body`` is in base64."""

    offset: int
    body: str


@attrs.frozen(kw_only=True)
class PageBody:
    """Answer to a read."""

    records: tuple[RecordBody, ...]
    first_offset: int
    end_offset: int


@attrs.frozen(kw_only=True)
class FailureBody:
    """Answer to a failed call: why, and whether it may have taken effect."""

    error: str
    is_effect_unknown: bool


@attrs.frozen(kw_only=True)
class FaultsBody:
    """Request to inject faults into the in-memory log."""

    outage: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    duplicates: int = 0
    corruptions: int = 0
    replace: bool = False
