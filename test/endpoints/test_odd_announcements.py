"""Check that odd announcements are refused, whatever they are."""

import json

import pytest

from goldcrestwharf.endpoints import EndpointSettings
from goldcrestwharf.endpoints._announcement import AnnouncementParser
from goldcrestwharf.endpoints._errors import AnnouncementError
from test.platform.odd_values import (
    ODD_JSON,
    assert_usable,
    replace_each_field,
)

PARSER = AnnouncementParser(host='10.0.0.1', cfg=EndpointSettings())


@pytest.mark.parametrize('kind', ODD_JSON)
def test_odd_field_of_an_announcement_is_refused_or_usable(kind: str) -> None:
    for place in ({'port': 80}, {'address': '10.0.0.1:80'}):
        document = {'group': 'menu-pool', 'slots': 12, 'team': 'a', **place}
        assert PARSER.parse('menu', json.dumps(document).encode())
        for written in replace_each_field(document, ODD_JSON[kind]):
            try:
                parsed = PARSER.parse('menu', written)
            except AnnouncementError:
                continue
            assert_usable(parsed)
