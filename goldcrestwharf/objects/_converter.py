"""Turn objects into plain JSON values and back, checking each type."""

import json
from collections.abc import Callable

import cattrs

#: Leaves out fields that equal their default and refuses unknown ones.
converter = cattrs.Converter(
    omit_if_default=True,
    forbid_extra_keys=True,
    detailed_validation=False,
)


def canonical_json(model: object) -> bytes:
    """Return the canonical JSON of an object, a set or a delta."""
    plain = converter.unstructure(model)
    written = json.dumps(plain, sort_keys=True, separators=(',', ':'))
    return written.encode('ascii')


def _strict(expected: type) -> Callable[[object, type], object]:
    def decorator(raw: object, _target: type) -> object:
        if raw.__class__ is expected:
            return raw
        raise TypeError(f'expected {expected.__name__}, not {raw!r}')

    return decorator


def _is_texts(target: object) -> bool:
    return target == tuple[str, ...]


def _structure_texts(raw: object, _target: object) -> tuple[str, ...]:
    # A text is iterable too, and its characters are not what was meant.
    if not isinstance(raw, list):
        raise TypeError(f'expected a list, not {raw!r}')
    return tuple(converter.structure(part, str) for part in raw)


def _register_strict_hooks() -> None:
    for primitive in (int, str, bool):
        converter.register_structure_hook(primitive, _strict(primitive))
    converter.register_structure_hook_func(_is_texts, _structure_texts)


_register_strict_hooks()
