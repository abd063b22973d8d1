"""Test the relay tree of zones of many sizes."""

import random

import pytest

from goldcrestwharf.distribution._tree import RelayTree, order_members
from goldcrestwharf.membership import Member
from test.helper import SEED


def make_zone(size: int) -> list[Member]:
    return [
        Member(
            vm=f'vm-{number}',
            zone='recife-a',
            address=f'127.0.0.1:{number}',
            incarnation=1,
        )
        for number in range(size)
    ]


def make_tree(members: list[Member], *, fan_out: int = 4) -> RelayTree:
    return RelayTree(
        ordered=order_members(members),
        readers=2,
        fan_out=fan_out,
    )


SIZES = (1, 2, 3, 10, 100, 770)


@pytest.mark.parametrize('size', SIZES)
def test_order_does_not_depend_on_the_view(size: int) -> None:
    members = make_zone(size)
    shuffled = random.Random(SEED).sample(members, size)
    assert order_members(members) == order_members(shuffled)


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('fan_out', [2, 16])
def test_each_daemon_is_a_reader_or_has_two_parents(
    size: int,
    fan_out: int,
) -> None:
    members = make_zone(size)
    tree = make_tree(members, fan_out=fan_out)
    readers = [member for member in members if tree.is_reader(member.vm)]
    assert len(readers) == min(2, size)
    for member in members:
        parents = tree.parents(member.vm)
        if not tree.is_reader(member.vm):
            assert len(set(parents)) >= 2
            assert member not in parents


@pytest.mark.parametrize('size', SIZES)
def test_first_parents_form_a_tree_of_bounded_fan_out(size: int) -> None:
    members = make_zone(size)
    tree = make_tree(members)
    children: dict[str, int] = {}
    for member in members:
        depth = tree.depth(member.vm)
        if depth:
            parent = tree.parents(member.vm)[0]
            assert tree.depth(parent.vm) == depth - 1
            children[parent.vm] = children.get(parent.vm, 0) + 1
    assert max(children.values(), default=0) <= 4


def test_daemon_missing_from_its_view_is_a_reader() -> None:
    tree = make_tree(make_zone(5))
    assert tree.is_reader('vm-new')
    assert not tree.parents('vm-new')


def test_loss_of_a_daemon_changes_few_parents() -> None:
    members = make_zone(770)
    before = make_tree(members, fan_out=16)
    after = make_tree(members[1:], fan_out=16)
    changed = [
        member
        for member in members[1:]
        if before.parents(member.vm)[:1] != after.parents(member.vm)[:1]
    ]
    assert len(changed) <= 770 / 16 + 2
