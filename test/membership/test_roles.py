import attrs
import pytest

from goldcrestwharf.membership import Member, MemberState, RoleAssignment
from goldcrestwharf.membership._table import MemberTable

ZONE = 'recife-a'


def make_table(count: int) -> MemberTable:
    table = MemberTable()
    for number in range(count):
        vm = f'vm-{number}'
        table.put(Member(vm=vm, zone=ZONE, address=vm, incarnation=1))
    return table


def name_holders(table: MemberTable, role: str, count: int = 2) -> list[str]:
    roles = RoleAssignment(table=table, vm='vm-0')
    return [one.vm for one in roles.holders(role, ZONE, count)]


def test_all_daemons_with_one_view_choose_the_same_holders() -> None:
    one, other = make_table(50), MemberTable()
    for record in reversed(tuple(one.records())):
        other.put(record)
    for number in range(20):
        role = f'role {number}'
        assert name_holders(one, role) == name_holders(other, role)


@pytest.mark.parametrize(
    'state',
    [MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD],
)
def test_only_roles_of_the_lost_member_move(
    state: MemberState,
) -> None:
    table = make_table(50)
    roles = [f'role {number}' for number in range(200)]
    before = {role: name_holders(table, role) for role in roles}
    gone = table.get('vm-7')
    assert gone is not None
    table.put(attrs.evolve(gone, state=state))
    for role in roles:
        kept = [vm for vm in before[role] if vm != 'vm-7']
        assert name_holders(table, role)[: len(kept)] == kept
        assert 'vm-7' not in name_holders(table, role)


def test_roles_are_spread_over_the_members() -> None:
    table = make_table(50)
    held = [name_holders(table, f'role {one}', 1)[0] for one in range(2000)]
    assert max(held.count(vm) for vm in set(held)) < 80


def test_cached_choice_is_renewed_when_members_change() -> None:
    table = make_table(3)
    roles = RoleAssignment(table=table, vm='vm-0')
    first = roles.holders('relay', ZONE, 1)[0]
    table.put(attrs.evolve(first, state=MemberState.DEAD))
    second = roles.holders('relay', ZONE, 1)[0]
    assert second.vm != first.vm
    table.put(attrs.evolve(second, revision=5))
    assert roles.holders('relay', ZONE, 1)[0].revision == 5


def test_suspects_hold_roles_when_no_member_is_alive() -> None:
    table = make_table(2)
    for record in tuple(table.records()):
        table.put(attrs.evolve(record, state=MemberState.SUSPECT))
    assert len(name_holders(table, 'relay')) == 2
