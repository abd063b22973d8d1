from collections import Counter

import pytest

from goldcrestwharf.objects import Service
from goldcrestwharf.routing import choose_group
from test.helper import make_rng


@pytest.mark.parametrize(
    ('split', 'expected'),
    [
        ({}, {'main': 1}),
        ({'canary': 0}, {'main': 1}),
        ({'canary': 10}, {'main': 0.9, 'canary': 0.1}),
        (
            {'canary': 30, 'old': 50},
            {'main': 0.2, 'canary': 0.3, 'old': 0.5},
        ),
        ({'canary': 100}, {'canary': 1}),
    ],
)
def test_each_group_gets_its_percentage(
    split: dict[str, int],
    expected: dict[str, float],
) -> None:
    rng = make_rng()
    service = Service(target_group='main', split=split)
    drawn = Counter(choose_group(service, rng) for _ in range(4000))
    assert drawn.keys() == expected.keys()
    for name, share in expected.items():
        assert drawn[name] / 4000 == pytest.approx(share, abs=0.03)
