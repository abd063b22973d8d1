"""Convert typed messages to plain values and back, without coercion.

By default the library would convert the string ``"GET"`` to three strings
or the string ``"1"`` to a number; fields from a peer must have exactly
their types.
"""

import enum
from collections.abc import Callable
from typing import Any, get_args, get_origin

import cattrs

_Hook = Callable[[Any, Any], Any]


def make_converter() -> cattrs.Converter:
    """Return a converter that accepts exact types only."""
    converter = cattrs.Converter(detailed_validation=False)
    for primitive in (int, str, bytes, bool, float):
        converter.register_structure_hook(
            primitive, _make_exact_hook(primitive)
        )
    converter.register_structure_hook_factory(
        _is_tuple,
        lambda wanted: _make_tuple_hook(converter, wanted),
    )
    return converter


def _make_exact_hook(expected: type) -> _Hook:
    accepted = {expected, int} if expected is float else {expected}

    def decorator(raw: object, target: type) -> object:
        if raw.__class__ in accepted:
            return target(raw) if issubclass(target, enum.Enum) else raw
        raise TypeError(f'expected {expected.__name__}')

    return decorator


def _is_tuple(wanted: object) -> bool:
    return get_origin(wanted) is tuple


def _make_tuple_hook(converter: cattrs.Converter, wanted: object) -> _Hook:
    kinds = get_args(wanted)
    is_homogeneous = kinds[-1] is Ellipsis

    def decorator(raw: object, _target: object) -> tuple[object, ...]:
        if not isinstance(raw, list | tuple):
            raise TypeError('expected an array')
        expected = kinds[:1] * len(raw) if is_homogeneous else kinds
        return tuple(
            converter.structure(each, kind)
            for each, kind in zip(raw, expected, strict=True)
        )

    return decorator
