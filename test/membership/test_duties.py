import attrs
import pytest

from goldcrestwharf.membership import Duties, Member, MemberState
from goldcrestwharf.membership._table import MemberTable

ZONE = 'recife-a'


def make_table(count: int) -> MemberTable:
    table = MemberTable()
    for number in range(count):
        vm = f'vm-{number}'
        table.put(Member(vm=vm, zone=ZONE, address=vm, incarnation=1))
    return table


def name_holders(table: MemberTable, duty: str, count: int = 2) -> list[str]:
    duties = Duties(table=table, vm='vm-0')
    return [one.vm for one in duties.holders(duty, ZONE, count)]


def test_all_daemons_with_one_view_choose_the_same_holders() -> None:
    one, other = make_table(50), MemberTable()
    for record in reversed(tuple(one.records())):
        other.put(record)
    for number in range(20):
        duty = f'duty {number}'
        assert name_holders(one, duty) == name_holders(other, duty)


@pytest.mark.parametrize(
    'state',
    [MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD],
)
def test_only_duties_of_the_member_that_goes_are_moved(
    state: MemberState,
) -> None:
    table = make_table(50)
    duties = [f'duty {number}' for number in range(200)]
    before = {duty: name_holders(table, duty) for duty in duties}
    gone = table.get('vm-7')
    assert gone is not None
    table.put(attrs.evolve(gone, state=state))
    for duty in duties:
        kept = [vm for vm in before[duty] if vm != 'vm-7']
        assert name_holders(table, duty)[: len(kept)] == kept
        assert 'vm-7' not in name_holders(table, duty)


def test_duties_are_spread_over_the_members() -> None:
    table = make_table(50)
    held = [name_holders(table, f'duty {one}', 1)[0] for one in range(2000)]
    assert max(held.count(vm) for vm in set(held)) < 80


def test_a_cached_choice_follows_the_members() -> None:
    table = make_table(3)
    duties = Duties(table=table, vm='vm-0')
    first = duties.holders('relay', ZONE, 1)[0]
    table.put(attrs.evolve(first, state=MemberState.DEAD))
    second = duties.holders('relay', ZONE, 1)[0]
    assert second.vm != first.vm
    table.put(attrs.evolve(second, revision=5))
    assert duties.holders('relay', ZONE, 1)[0].revision == 5


def test_suspects_hold_duties_when_nobody_else_is_left() -> None:
    table = make_table(2)
    for record in tuple(table.records()):
        table.put(attrs.evolve(record, state=MemberState.SUSPECT))
    assert len(name_holders(table, 'relay')) == 2
