"""Check that addresses of other daemons that can't be used end no task."""

import math

import attrs
import pytest

from goldcrestwharf.discovery import DaemonRecord, Directory, ReportedRecord
from goldcrestwharf.proxy._dialing import dial
from goldcrestwharf.proxy._peer_messages import KnownPeers
from test.platform.odd_values import NO_ADDRESSES, TEXTS

LONG_LABEL = 'h' * 64
GOOD = ('vm-1', '10.0.0.1:7600', 'zone-a', 3)


@pytest.mark.parametrize('kind', NO_ADDRESSES)
async def test_address_that_is_none_is_not_dialed(kind: str) -> None:
    """The system refuses it by errors that are no OSError."""
    stream = await dial(
        TEXTS[kind],
        receive=lambda *_: None,
        handle_end=lambda _: None,
    )
    assert stream is None


@pytest.mark.parametrize('host', ['a..b', 'no-such.invalid', LONG_LABEL])
async def test_name_that_is_not_found_is_not_connected(host: str) -> None:
    stream = await dial(
        f'{host}:80', receive=lambda *_: None, handle_end=lambda _: None
    )
    assert stream is None


@pytest.mark.parametrize(
    'odd',
    [
        *[('vm-2', TEXTS[kind], 'zone-a', 3) for kind in NO_ADDRESSES],
        ('', '10.0.0.1:7600', 'zone-a', 3),
        ('x' * 256, '10.0.0.1:7600', 'zone-a', 3),
        ('\ud800', '10.0.0.1:7600', 'zone-a', 3),
        ('vm-2', '10.0.0.1:7600', '', 3),
    ],
)
def test_known_peer_that_cant_be_used_is_left_out(
    odd: tuple[str, str, str, int],
) -> None:
    known = KnownPeers(daemons=[GOOD, odd, GOOD])
    names = [reported.record.name for reported in known.records()]
    assert names == ['vm-1', 'vm-1']


@pytest.mark.parametrize('age', [-1, 10**9, math.nan, math.inf])
async def test_report_of_an_odd_age_is_ignored(age: float) -> None:
    """A daemon that isn't there would never expire."""
    local = DaemonRecord(name='a', address='10.0.0.1:7600', zone='z')
    directory = Directory(local=local)
    other = attrs.evolve(local, name='b', address='10.0.0.2:7600')
    report = ReportedRecord(record=other, age=age)
    assert not directory.record_report(report, 0)
    assert not directory.records()
