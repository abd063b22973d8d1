import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestwharf.membership import Member, MemberState, Target
from goldcrestwharf.membership._order import (
    brings_update,
    key_of,
    merge,
    rank_of,
)

TARGETS = st.lists(
    st.builds(
        Target,
        name=st.sampled_from(['menu', 'order']),
        group=st.just('pool'),
        address=st.sampled_from(['10.0.0.1:80', '10.0.0.1:81']),
        slots=st.integers(1, 2),
    ),
    max_size=2,
).map(tuple)

RECORDS = st.builds(
    Member,
    vm=st.just('vm-1'),
    zone=st.just('recife-a'),
    address=st.sampled_from(['10.0.0.1:7', '10.0.0.1:8']),
    incarnation=st.integers(0, 2),
    revision=st.integers(0, 2),
    state=st.sampled_from(MemberState),
    targets=TARGETS,
)


@settings(derandomize=True)
@given(RECORDS)
def test_merging_is_idempotent(one: Member) -> None:
    assert merge(one, one) == one


@settings(derandomize=True)
@given(RECORDS, RECORDS)
def test_merging_is_commutative(one: Member, other: Member) -> None:
    assert merge(one, other) == merge(other, one)


@settings(derandomize=True)
@given(RECORDS, RECORDS, RECORDS)
def test_merging_is_associative(
    one: Member, two: Member, three: Member
) -> None:
    assert merge(merge(one, two), three) == merge(one, merge(two, three))


@settings(derandomize=True)
@given(RECORDS, RECORDS)
def test_only_a_higher_incarnation_makes_a_member_alive_again(
    one: Member,
    other: Member,
) -> None:
    merged = merge(one, other)
    if merged.incarnation == one.incarnation:
        assert rank_of(merged.state) >= rank_of(one.state)
        assert merged.revision >= one.revision
    assert merged.incarnation >= one.incarnation


@settings(derandomize=True)
@given(RECORDS, RECORDS)
def test_order_keys_show_whether_a_merge_changes_a_record(
    known: Member,
    received: Member,
) -> None:
    merged = merge(known, received)
    is_news = brings_update(key_of(received), key_of(known))
    assert is_news == (key_of(merged) != key_of(known))


@settings(derandomize=True)
@given(RECORDS)
def test_equal_records_have_equal_keys(one: Member) -> None:
    assert key_of(one) == key_of(attrs.evolve(one))
