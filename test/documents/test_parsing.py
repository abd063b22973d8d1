"""Any input gives a model or problems, and never raises."""

import json
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestwharf.documents import MAX_DOCUMENT_BYTES
from goldcrestwharf.objects import ObjectSet, review_objects
from goldcrestwharf.settings import review_settings

REPEATS = 500_000
KEYS = st.sampled_from(
    ['target_groups', 'services', 'routes', 'slots', 'service', 'split', 'a']
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=4),
    st.sampled_from(['GET', 'a', '/', '\ud800']),
)
TREES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(KEYS | st.text(max_size=3), inner, max_size=4)
    ),
    max_leaves=20,
)
TOKENS = st.lists(
    st.sampled_from(
        [*r'{}[]",:/*\n', '\n', '//', '/*', '*/', '"a"', r'\"', 'null', '1e999']
    )
    | st.text(string.printable, max_size=3),
    max_size=40,
)


def read_all(raw: bytes) -> None:
    review = review_objects(raw)
    assert review.objects is None or isinstance(review.objects, ObjectSet)
    assert review.objects is not None or review.is_refused
    for problem in (*review.problems, *review_settings(raw).problems):
        assert str(problem).isprintable()
        str(problem).encode()


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_any_bytes_give_model_or_problems(raw: bytes) -> None:
    read_all(raw)


@given(TOKENS)
@settings(derandomize=True, max_examples=400, deadline=None)
def test_any_tokens_give_model_or_problems(tokens: list[str]) -> None:
    read_all(''.join(tokens).encode())


@given(TREES)
@settings(derandomize=True, max_examples=400, deadline=None)
def test_any_tree_gives_model_or_problems(tree: object) -> None:
    read_all(json.dumps(tree).encode())


@given(st.dictionaries(KEYS, st.dictionaries(KEYS, TREES, max_size=3)))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_any_object_tree_gives_model_or_problems(tree: object) -> None:
    read_all(json.dumps(tree).encode())


@pytest.mark.parametrize(
    ('raw', 'reason'),
    [
        (b' ' * (MAX_DOCUMENT_BYTES + 1), 'more than'),
        (b'[' * REPEATS, 'nested more than'),
        (b'"' * (REPEATS + 1), 'a string is not closed'),
        (b''.join((b'"', rb'\"' * REPEATS)), 'a string is not closed'),
        (b''.join((b'"', rb'\"' * REPEATS, b'\\')), 'a string is not closed'),
        (b'/*' * REPEATS, 'a comment is not closed'),
        (b'//' * REPEATS, 'the document ends too early'),
        (b',' * REPEATS, 'expecting value'),
        (b''.join((b'{"a":', b'9' * REPEATS, b'}')), 'is not a known field'),
        (
            b''.join((b'{"routes":', b' ' * REPEATS)),
            'the document ends too early',
        ),
    ],
    ids=[
        'huge',
        'deep',
        'quotes',
        'escapes',
        'escapes-backslash',
        'comments',
        'line-comments',
        'commas',
        'digits',
        'spaces',
    ],
)
def test_oversized_input_is_refused_in_linear_time(
    raw: bytes, reason: str
) -> None:
    """Guards against a quadratic scan, which would take minutes."""
    problem = review_objects(raw).problems[0]
    assert reason in problem.reason


@pytest.mark.parametrize(
    ('written', 'start'),
    [
        ('{\n// c\n"a" 1}', 'line 3'),
        ('{\n/* c\n */ "a" 1}', 'line 3'),
        ('{\n"routes": [1,\n],\n"a" 1}', 'line 4'),
        ('{"a": "b\n"}', 'line 1'),
        ('{\n"a": 1, /* b', 'line 2'),
        ('{\r\n"a"\r\n1}', 'line 3'),
        ('{"a": "\t"}', 'line 1'),
        ('\n\n{"a": \x00}', 'line 3'),
    ],
)
def test_syntax_error_reports_its_line(written: str, start: str) -> None:
    problem = review_objects(written.encode()).problems[0]
    assert problem.reason.startswith(start)


@pytest.mark.parametrize(
    'written',
    [
        '{"routes": {}, // c\n}',
        '{"routes": {}, /* "a" */ }',
        '{"routes": {"a": {"service": "b", "host": "a//b.example"}}}',
        '\ufeff{}',
        '{} // no line end',
        '{"routes": {"a": {"service": "b", "repeatable": null}}}',
    ],
)
def test_comments_and_trailing_commas_are_accepted(written: str) -> None:
    assert review_objects(written.encode()).objects is not None


def test_comment_separates_tokens() -> None:
    """Two numbers around a comment aren't read as one number."""
    problem = review_objects(b'{"routes": 1/**/2}').problems[0]
    assert "expecting ',' delimiter" in problem.reason
