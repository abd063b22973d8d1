"""Check that names are well-formed and not easily confused."""

from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType

from goldcrestwharf.documents import Place, Problem, Severity
from goldcrestwharf.objects._kinds import KINDS
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check
from goldcrestwharf.objects._text_format import KnownMistake, TextFormat

_PLAIN = 'use ASCII letters, digits, "-", "_" and "." only'

_NAME = TextFormat(
    pattern='[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    mistakes=(
        KnownMistake(
            pattern='^$',
            reason='is empty',
            remedy='give it a name',
        ),
        KnownMistake(
            pattern=r'^\s|\s$',
            reason='begins or ends with white space',
            remedy='remove the white space inside the quotes',
        ),
        KnownMistake(
            pattern=r'[^\S ]|[\x00-\x1f\x7f-\x9f\u200b-\u200f\ufeff]',
            reason='contains characters that cannot be seen',
            remedy='retype the name instead of pasting it',
        ),
        KnownMistake(
            pattern=' ',
            reason='contains a space',
            remedy='replace it by "-"',
        ),
        KnownMistake(
            pattern=r'[^\x00-\x7f]',
            reason='contains characters outside ASCII, which may look alike',
            remedy=_PLAIN,
        ),
        KnownMistake(
            pattern='.{64}',
            reason='is longer than 63 characters',
            remedy='choose a shorter one',
        ),
        KnownMistake(
            pattern='',
            reason='does not consist of letters, digits, "-", "_" and "."',
            remedy='start with a letter or digit and use no other characters',
        ),
    ),
)

# Digits that look like letters, and separators that are often confused.
_LOOKALIKES = MappingProxyType(str.maketrans('01i_.', 'oll--'))


@check('names-well-formed', is_local=True)
def find_malformed_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each malformed name."""
    for kind in KINDS:
        for name in kind.of(objects):
            if not _NAME.matches(name):
                place = Place(kind=kind.word, name=name)
                yield _NAME.explain(name, 'the name', place)


@check('names-distinct')
def find_duplicate_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for names that differ only in case or white space."""
    for kind in KINDS:
        for name, other in _find_duplicates(kind.of(objects), _casefold_key):
            yield Problem(
                place=Place(kind=kind.word, name=name),
                reason=f'it differs from "{other}" in case or spaces alone',
                remedy='remove one of them or choose a different name',
            )


@check('names-look-distinct', is_advisory=True)
def find_similar_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for names that look alike."""
    for kind in KINDS:
        for name, other in _find_duplicates(kind.of(objects), _visual_key):
            if _casefold_key(name) != _casefold_key(other):
                yield Problem(
                    place=Place(kind=kind.word, name=name),
                    reason=f'it is easily confused with "{other}"',
                    remedy='choose names that look different',
                    severity=Severity.WARNING,
                )


def _find_duplicates(
    names: Iterable[str],
    key_of: Callable[[str], str],
) -> Iterator[tuple[str, str]]:
    first: dict[str, str] = {}
    for name in sorted(names):
        other = first.setdefault(key_of(name), name)
        if other != name:
            yield name, other


def _casefold_key(name: str) -> str:
    return ''.join(name.casefold().split())


def _visual_key(name: str) -> str:
    return _casefold_key(name).translate(_LOOKALIKES)
