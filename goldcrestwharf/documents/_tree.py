"""Hold the parsed tree of a document."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.documents._repeated import find_repeated

# No field takes a number of more digits than a 64-bit one has.
_MAX_DIGITS = 20


@attrs.frozen(kw_only=True)
class Section:
    """Hold the members of a JSON object and the keys that came twice.

    ``members`` has the last one of such a key and ``hidden`` all of them.
    """

    members: dict[str, object]
    duplicates: tuple[str, ...] = ()
    hidden: tuple[tuple[str, object], ...] = ()


@attrs.frozen
class OddNumber:
    """Hold a number, as written, that no field takes, such as ``1.5``."""

    written: str


def make_integer(written: str) -> int | OddNumber:
    """Return the number, unless no field could take it."""
    if len(written) > _MAX_DIGITS:
        return OddNumber(written)
    return int(written)


def make_section(pairs: list[tuple[str, object]]) -> Section:
    """Return the section of these members; the last of a key counts."""
    members = dict(pairs)
    if len(members) == len(pairs):
        return Section(members=members)
    twice = find_repeated(key for key, _ in pairs)
    return Section(
        members=members,
        duplicates=tuple(twice),
        hidden=tuple(_select(pairs, twice)),
    )


def _select(
    pairs: list[tuple[str, object]],
    keys: list[str],
) -> Iterator[tuple[str, object]]:
    for key, part in pairs:
        if key in keys:
            yield key, part
