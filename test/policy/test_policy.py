import pytest

from goldcrestwharf.policy import OfferResult, PolicyHolder, PolicyTable
from test.policy.helper import make_route, make_snapshot


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/menu/today', 'menu'),
        ('/menu/', 'menu'),
        ('/menu', None),
        ('/menus/today', None),
        ('/menu/kids/lunch', 'kids'),
        ('/menu/kids', 'menu'),
        ('/other/', None),
        ('', None),
    ],
)
def test_longest_matching_prefix_is_chosen(
    path: str,
    expected: str | None,
) -> None:
    table = PolicyTable(
        routes=(
            make_route(),
            make_route(name='kids', path_prefix='/menu/kids/'),
        ),
    )
    found = table.match(host='SHOP.example:80', path=path)
    name = found.name if found else None
    assert name == expected


def test_route_of_another_host_does_not_match() -> None:
    table = PolicyTable(routes=(make_route(),))
    assert table.match(host='other.example', path='/menu/') is None


def test_root_prefix_matches_paths_without_a_longer_match() -> None:
    table = PolicyTable(
        routes=(make_route(), make_route(name='all', path_prefix='/')),
    )
    found = table.match(host='shop.example', path='/a/b/c')
    assert found is not None
    assert found.name == 'all'


def test_only_higher_versions_are_adopted() -> None:
    holder = PolicyHolder()
    seen: list[int] = []
    holder.watch(lambda snapshot: seen.append(snapshot.version))
    offers = [
        holder.offer(make_snapshot(version)) for version in (3, 2, 3, 7, 6)
    ]
    assert offers == [
        OfferResult.ADOPTED,
        OfferResult.OLDER,
        OfferResult.KNOWN,
        OfferResult.ADOPTED,
        OfferResult.OLDER,
    ]
    assert seen == [3, 7]
    assert holder.version == 7
