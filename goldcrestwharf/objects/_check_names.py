"""Check that names can be typed, told apart and read aloud."""

from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType

from goldcrestwharf.documents import Place, Problem, Severity
from goldcrestwharf.objects._forms import Form, Mistake
from goldcrestwharf.objects._kinds import KINDS
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check

_PLAIN = 'use ASCII letters, digits, "-", "_" and "." only'

_NAME = Form(
    pattern='[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    mistakes=(
        Mistake(
            pattern='^$',
            reason='is empty',
            remedy='give it a name',
        ),
        Mistake(
            pattern=r'^\s|\s$',
            reason='begins or ends with white space',
            remedy='remove the white space inside the quotes',
        ),
        Mistake(
            pattern=r'[^\S ]|[\x00-\x1f\x7f-\x9f\u200b-\u200f\ufeff]',
            reason='holds characters that cannot be seen',
            remedy='type the name anew instead of pasting it',
        ),
        Mistake(
            pattern=' ',
            reason='holds a space',
            remedy='put "-" in its place',
        ),
        Mistake(
            pattern=r'[^\x00-\x7f]',
            reason='holds characters outside ASCII, which look like others',
            remedy=_PLAIN,
        ),
        Mistake(
            pattern='.{64}',
            reason='is longer than 63 characters',
            remedy='choose a shorter one',
        ),
        Mistake(
            pattern='',
            reason='does not consist of letters, digits, "-", "_" and "."',
            remedy='begin with a letter or digit and use no other signs',
        ),
    ),
)

# Digits that look like letters, and separators that are mixed up.
_LOOK_ALIKES = MappingProxyType(str.maketrans('01i_.', 'oll--'))


@check('names-well-formed', is_local=True)
def find_odd_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each name that invites mistakes."""
    for kind in KINDS:
        for name in kind.of(objects):
            if not _NAME.accepts(name):
                place = Place(kind=kind.word, name=name)
                yield _NAME.explain(name, 'the name', place)


@check('names-distinct')
def find_equal_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for names that differ in case or white space alone."""
    for kind in KINDS:
        for name, other in _find_twins(kind.of(objects), _fold):
            yield Problem(
                place=Place(kind=kind.word, name=name),
                reason=f'it differs from "{other}" in case or spaces alone',
                remedy='remove one of them or choose a name of its own',
            )


@check('names-look-distinct', is_advisory=True)
def find_similar_names(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for names that are easily taken for one another."""
    for kind in KINDS:
        for name, other in _find_twins(kind.of(objects), _see):
            if _fold(name) != _fold(other):
                yield Problem(
                    place=Place(kind=kind.word, name=name),
                    reason=f'it is easily taken for "{other}"',
                    remedy='choose names that look different',
                    severity=Severity.WARNING,
                )


def _find_twins(
    names: Iterable[str],
    simplify: Callable[[str], str],
) -> Iterator[tuple[str, str]]:
    first: dict[str, str] = {}
    for name in sorted(names):
        other = first.setdefault(simplify(name), name)
        if other != name:
            yield name, other


def _fold(name: str) -> str:
    return ''.join(name.casefold().split())


def _see(name: str) -> str:
    return _fold(name).translate(_LOOK_ALIKES)
