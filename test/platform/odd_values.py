"""Values that another writer may put in place of a field."""

import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType

import attrs
import msgpack

from goldcrestwharf.policy import PolicyTable

_MARK = '@odd@'
_DEPTH = 900
_NINES = '9' * 5000
_SOME_OPEN = '[' * _DEPTH
_SOME_CLOSED = ']' * _DEPTH
_OPEN = '[' * 100_000
_CLOSED = ']' * 100_000
_LONG_HOST = 'h' * 300

#: Integer of the most digits that Python converts, and how many of them fill
#: the largest body.
_LONGEST_INT = '9' * 4300
_LONGEST_INTS = 230

#: Texts by the kind of the value.
TEXTS = MappingProxyType(
    {
        'long-duration': f'{_NINES}s',
        'long-version': f'r{_NINES}',
        'large-version': 'r999999999999999999999',
        'surrogate': '\ud800',
        'null-byte': '10.0.0.1\0:80',
        'port-too-large': '10.0.0.1:70000',
        'port-negative': '10.0.0.1:-1',
        'port-zero': '10.0.0.1:0',
        'port-missing': '10.0.0.1',
        'port-empty': '10.0.0.1:',
        'port-huge': f'10.0.0.1:{_NINES}',
        'port-in-other-digits': '10.0.0.1:\u0668\u0660',
        'host-empty': ':80',
        'host-long': f'{_LONG_HOST}:80',
        'ipv6': '[::1]:80',
        'long-text': 'x' * 100_000,
        'empty-text': '',
    }
)

#: JSON by the kind of the value.
ODD_JSON = MappingProxyType(
    {
        **{kind: json.dumps(text) for kind, text in TEXTS.items()},
        'deep-list': f'{_SOME_OPEN}{_SOME_CLOSED}',
        'deep-table': '{}1{}'.format('{"a":' * _DEPTH, '}' * _DEPTH),
        'too-deep': f'{_OPEN}{_CLOSED}',
        'large-int': str(10**400),
        'huge-int': _NINES,
        'below-64-bit': str(-(2**64)),
        'infinite': '1e400',
        'nan': 'NaN',
        'number': '7',
        'negative': '-7',
        'fraction': '0.5',
        'true': 'true',
        'null': 'null',
        'list': '[]',
        'list-of-odd': '[null, 7, "x", [], {}]',
        'table': '{}',
        'not-utf-8': '"\udcff"',
    }
)

#: Size of the longest values: that of the largest body of a heartbeat.
_LONG_CHARS = 1_000_000

_LONG_TEXTS = MappingProxyType(
    {
        'digits': '0' * _LONG_CHARS,
        'digits-and-unit': '{}s'.format('9' * _LONG_CHARS),
        'fraction': '0.{}'.format('1' * _LONG_CHARS),
        'fraction-and-unit': '0.{}s'.format('1' * _LONG_CHARS),
        'points': '.' * _LONG_CHARS,
        'signs': '-' * _LONG_CHARS,
        'version': 'r{}'.format('0' * _LONG_CHARS),
        'labels': 'a.' * (_LONG_CHARS // 2),
        'ports': '1:' * (_LONG_CHARS // 2),
        'spaces': ' ' * _LONG_CHARS,
        'backslashes': '\\' * _LONG_CHARS,
    }
)

#: JSON of the longest values, by their kind.
LONG_VALUES = MappingProxyType(
    {
        **{kind: json.dumps(text) for kind, text in _LONG_TEXTS.items()},
        'long-number': '1' * _LONG_CHARS,
        'long-fraction': '0.{}'.format('1' * _LONG_CHARS),
        'long-exponent': '1e{}'.format('1' * _LONG_CHARS),
        'long-list': '[{}1]'.format('1,' * (_LONG_CHARS // 2)),
        'numbers': '[{}1]'.format(f'{_LONGEST_INT},' * _LONGEST_INTS),
        'tables': '[{}1]'.format('{},' * (_LONG_CHARS // 3)),
    }
)

#: YAML of the longest numbers, by their kind.
LONG_NUMBERS = MappingProxyType(
    {
        'digits': '1' * _LONG_CHARS,
        'hexadecimal': '0x{}'.format('f' * _LONG_CHARS),
        'fraction': '0.{}'.format('1' * _LONG_CHARS),
        'base-60': '1{}'.format(':1' * (_LONG_CHARS // 2)),
        'base-60-and-fraction': '1{}.5'.format(':1' * (_LONG_CHARS // 2)),
    }
)

#: Kinds that look like an address but aren't one.
NO_ADDRESSES = tuple(
    kind
    for kind in TEXTS
    if kind.startswith(('port', 'host', 'null', 'ipv6', 'empty'))
)


def replace_each_field(document: object, written: str) -> Iterator[bytes]:
    """Yield the document with each of its values replaced in turn."""
    for marked in _mark_each(document):
        text = json.dumps(marked).replace(f'"{_MARK}"', written, 1)
        yield text.encode('utf-8', 'surrogateescape')


def _mark_each(document: object) -> Iterator[object]:
    yield _MARK
    if isinstance(document, dict):
        for name, field in document.items():
            for changed in _mark_each(field):
                yield {**document, name: changed}
    if isinstance(document, list):
        yield from map(_to_list, _mark_each(dict(enumerate(document))))


def assert_usable(decoded: object) -> None:
    """Check that a decoded value can be sent, compared and logged."""
    msgpack.packb(decoded, default=_simplify)
    json.dumps(decoded, default=_simplify, allow_nan=False)


def _simplify(decoded: object) -> object:
    assert not isinstance(decoded, int), 'an integer out of range'
    if isinstance(decoded, PolicyTable):
        return decoded.routes
    if attrs.has(type(decoded)):
        return attrs.asdict(decoded, recurse=False)
    if isinstance(decoded, Mapping):
        return dict(decoded)
    return repr(decoded)


def _to_list(marked: object) -> object:
    return list(marked.values()) if isinstance(marked, dict) else marked
