"""The nodes of a parsed document."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.documents._duplicates import find_duplicates

# No field accepts a number with more digits than 64 bits can hold.
_MAX_DIGITS = 20


@attrs.frozen(kw_only=True)
class Section:
    """The members of a JSON object, and its duplicate keys.

    For a duplicate key ``members`` has the last member and
    ``duplicate_members`` has all of them.
    """

    members: dict[str, object]
    duplicate_keys: tuple[str, ...] = ()
    duplicate_members: tuple[tuple[str, object], ...] = ()


@attrs.frozen
class UnsupportedNumber:
    """A number, as written, that no field accepts, such as ``1.5``."""

    written: str


def make_integer(text: str) -> int | UnsupportedNumber:
    """Return the integer, unless it has too many digits for any field."""
    if len(text) > _MAX_DIGITS:
        return UnsupportedNumber(text)
    return int(text)


def make_section(pairs: list[tuple[str, object]]) -> Section:
    """Return the section with these members; the last of a key is used."""
    members = dict(pairs)
    if len(members) == len(pairs):
        return Section(members=members)
    duplicate_keys = find_duplicates(key for key, _ in pairs)
    return Section(
        members=members,
        duplicate_keys=tuple(duplicate_keys),
        duplicate_members=tuple(_select(pairs, duplicate_keys)),
    )


def _select(
    pairs: list[tuple[str, object]],
    keys: list[str],
) -> Iterator[tuple[str, object]]:
    for key, member in pairs:
        if key in keys:
            yield key, member
