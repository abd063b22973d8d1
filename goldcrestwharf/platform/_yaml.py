"""Parse the settings file, which is YAML."""

from collections.abc import Callable
from functools import partial

import yaml

from goldcrestwharf.platform._values import PlatformFormatError, show

#: Longest number. A longer one in base 60, such as ``1:30:00``, takes
#: quadratic time.
_MAX_NUMBER_CHARS = 64

#: Errors of the parser, the others for texts that don't fit their tags.
_ERRORS = (
    yaml.YAMLError,
    ValueError,
    RecursionError,
    AttributeError,
    LookupError,
)


class _SettingsLoader(yaml.CSafeLoader):
    """Loader that refuses long numbers."""


_Construct = Callable[[yaml.CSafeLoader, yaml.ScalarNode], object]


def _construct_number(
    construct: _Construct, loader: yaml.CSafeLoader, node: yaml.ScalarNode
) -> object:
    if len(node.value) <= _MAX_NUMBER_CHARS:
        return construct(loader, node)
    raise PlatformFormatError(
        reason=f'{show(node.value)} is a number of too many digits'
    )


_SettingsLoader.add_constructor(
    'tag:yaml.org,2002:int',
    partial(_construct_number, yaml.CSafeLoader.construct_yaml_int),
)
_SettingsLoader.add_constructor(
    'tag:yaml.org,2002:float',
    partial(_construct_number, yaml.CSafeLoader.construct_yaml_float),
)


def parse_yaml(written: bytes) -> object:
    """Return the value that is written as YAML."""
    try:
        return yaml.load(written, Loader=_SettingsLoader)
    except _ERRORS as exc:
        raise PlatformFormatError(
            reason=f'invalid YAML: {show(str(exc))}'
        ) from exc
