"""Checks of the types of received fields."""

import types
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from goldcrestwharf.proxy._scalar_types import SCALARS, Check


def make_checks(fields_type: type) -> tuple[Check, ...]:
    """Return the checks of the fields of an attrs class, in their order."""
    hints = get_type_hints(fields_type)
    return tuple(
        _make_check(hints[name]) for name in attrs.fields_dict(fields_type)
    )


def have_types(checks: tuple[Check, ...], row: Any) -> bool:
    """Return whether each value of a row passes its check.

    Values or checks at the end that have no counterpart are left out.
    """
    return _is_sequence(row) and all(
        check(found) for check, found in zip(checks, row, strict=False)
    )


def _make_check(hint: Any) -> Check:
    origin = get_origin(hint)
    if origin is types.UnionType:
        return _make_union(get_args(hint))
    if origin in {list, tuple}:
        return _make_sequence(get_args(hint))
    return SCALARS[hint]


def _make_union(options: tuple[Any, ...]) -> Check:
    checks = tuple(map(_make_check, options))
    return lambda found: any(check(found) for check in checks)


def _make_sequence(elements: tuple[Any, ...]) -> Check:
    if elements[0] is Any:
        return _is_sequence
    if len(elements) == 1 or elements[-1] is Ellipsis:
        return _make_list(_make_check(elements[0]))
    return _make_row(tuple(map(_make_check, elements)))


def _make_row(checks: tuple[Check, ...]) -> Check:
    size = len(checks)
    return lambda found: have_types(checks, found) and len(found) == size


def _make_list(check: Check) -> Check:
    return lambda found: _is_sequence(found) and all(map(check, found))


def _is_sequence(found: object) -> bool:
    return isinstance(found, list | tuple)
