"""Convert objects to plain JSON values and back, checking each type."""

import json
from collections.abc import Callable

import cattrs

#: Omits fields that equal their default and rejects unknown ones.
converter = cattrs.Converter(
    omit_if_default=True,
    forbid_extra_keys=True,
    detailed_validation=False,
)


def canonical_json(model: object) -> bytes:
    """Return the canonical JSON of an object, a set or a delta."""
    plain = converter.unstructure(model)
    json_text = json.dumps(plain, sort_keys=True, separators=(',', ':'))
    return json_text.encode('ascii')


def _exact_type_hook(expected: type) -> Callable[[object, type], object]:
    def decorator(raw: object, _target: type) -> object:
        if raw.__class__ is expected:
            return raw
        raise TypeError(f'expected {expected.__name__}, not {raw!r}')

    return decorator


def _is_tuple_of_str(target: object) -> bool:
    return target == tuple[str, ...]


def _structure_tuple_of_str(raw: object, _target: object) -> tuple[str, ...]:
    # A string is iterable too, but must not be read as a list of characters.
    if not isinstance(raw, list):
        raise TypeError(f'expected a list, not {raw!r}')
    return tuple(converter.structure(part, str) for part in raw)


def _register_strict_hooks() -> None:
    for primitive in (int, str, bool):
        converter.register_structure_hook(
            primitive, _exact_type_hook(primitive)
        )
    converter.register_structure_hook_func(
        _is_tuple_of_str, _structure_tuple_of_str
    )


_register_strict_hooks()
