"""Test the reported problems of the sample sets in ``sets/``."""

from pathlib import Path

import pytest

from goldcrestwharf.objects import check_objects, parse_objects, review_objects

SETS = Path(__file__).parent / 'sets'
FILES = tuple(sorted(SETS.glob('*.jsonc')))
BAD = frozenset(SETS.glob('bad-*.jsonc'))


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_all_problems_are_reported_in_one_pass(path: Path) -> None:
    review = review_objects(path.read_bytes())
    expected = path.with_suffix('.expected').read_text().splitlines()
    assert [str(problem) for problem in review.problems] == expected


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_only_invalid_sets_are_refused(path: Path) -> None:
    parsed = parse_objects(path.read_bytes())
    is_refused = path in BAD
    assert parsed.map(lambda _: False).value_or(True) is is_refused


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_each_problem_names_place_reason_and_remedy(path: Path) -> None:
    for problem in review_objects(path.read_bytes()).problems:
        assert problem.place.kind
        assert problem.reason
        assert problem.remedy
        assert str(problem).isprintable()


def test_set_with_only_warnings_is_accepted() -> None:
    raw = (SETS / 'warn-empty.jsonc').read_bytes()
    objects = parse_objects(raw).unwrap()
    assert [problem.is_refusal for problem in check_objects(objects)] == [False]
