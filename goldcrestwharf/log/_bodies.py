"""Define the JSON bodies that clients and the stand-in exchange."""

import attrs


@attrs.frozen(kw_only=True)
class AppendBody:
    """Ask for an append; records are in base64."""

    records: tuple[str, ...]


@attrs.frozen(kw_only=True)
class AppendAnswer:
    """Tell the offset of the first record appended."""

    offset: int


@attrs.frozen(kw_only=True)
class RecordBody:
    """Hold a record in base64."""

    offset: int
    body: str


@attrs.frozen(kw_only=True)
class PageBody:
    """Answer a read."""

    records: tuple[RecordBody, ...]
    first_offset: int
    end_offset: int


@attrs.frozen(kw_only=True)
class FailureBody:
    """Tell why a call failed and whether it may have taken effect."""

    error: str
    is_effect_unknown: bool


@attrs.frozen(kw_only=True)
class FaultsBody:
    """Order faults of the stand-in."""

    outage: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    duplicates: int = 0
    corruptions: int = 0
    replace: bool = False
