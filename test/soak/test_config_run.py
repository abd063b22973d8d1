"""Run a short seed of the configuration checks, and test the checks."""

import asyncio
import random
from pathlib import Path

import pytest

from goldcrestwharf.platform._configuration import decode_configuration
from goldcrestwharf.platform._values import PlatformFormatError
from test.soak.config_run.contact import Contact, Disruption, Scope
from test.soak.config_run.judge import Broken, Judge, Sent
from test.soak.config_run.kinds import list_kinds
from test.soak.config_run.runner import Terms, run_seed
from test.soak.config_run.versions import (
    NO_ROUTE,
    History,
    Operator,
    Rule,
    Version,
)

#: Seconds after which a run is taken to hang.
HANG_TIMEOUT_S = 120

#: When the versions of these tests are acknowledged.
FIRST_AT, MOVED_AT, DROPPED_AT = 100.0, 110.0, 120.0


@pytest.mark.parametrize(
    ('seed', 'kinds', 'span'),
    [(24, sorted(list_kinds()), 8), (1, ['invalid'], 5)],
)
async def test_no_daemon_goes_back_or_applies_an_invalid_version(
    tmp_path: Path, seed: int, kinds: list[str], span: float
) -> None:
    terms = Terms(
        folder=tmp_path,
        daemons=6,
        kinds=kinds,
        span=span,
        gap=(0.3, 1.5),
        has_pauses=False,
        is_timed=False,
    )
    async with asyncio.timeout(HANG_TIMEOUT_S):
        report = await run_seed(seed, terms)
    assert report.served
    assert not report.findings


def make_history() -> History:
    """Return versions that move a route to another service and drop it."""
    history = History()
    for number, at, rules in (
        (1, FIRST_AT, {'moved': make_rule('old')}),
        (2, MOVED_AT, {'moved': make_rule('new')}),
        (5, DROPPED_AT, {}),
    ):
        history.add(Version(number=number, rules=rules, acked_at=at))
    return history


def make_rule(service: str) -> Rule:
    return Rule(weights=((service, 1),))


def make_sent(
    sent_at: float, service: str = '', *, route: str = 'moved'
) -> Sent:
    """Return a request that a service ran, or that was answered with 404."""
    sent = Sent(
        request_id='q-1',
        daemon='vm-00',
        incarnation=1,
        route=route,
        sent_at=sent_at,
        is_kept=True,
        ended_at=sent_at + 0.1,
        status=200 if service else int(NO_ROUTE),
    )
    if service:
        sent.runs.append((service, sent_at + 0.05))
    return sent


def judge(
    *requests: Sent, disruption: Disruption | None = None
) -> list[Broken]:
    contact = Contact()
    if disruption is not None:
        contact.disruptions.append(disruption)
    findings = Judge(history=make_history(), contact=contact).judge(
        list(requests)
    )
    return [finding.rule for finding in findings]


def make_disruption(
    scope: Scope, *, ended_at: float, daemon: str = 'vm-00'
) -> Disruption:
    return Disruption(
        kind='any',
        scope=scope,
        daemons=frozenset((daemon,)),
        began_at=ended_at - 0.5,
        ended_at=ended_at,
    )


@pytest.mark.parametrize(
    ('sent_at', 'service', 'expected'),
    [
        (MOVED_AT + 1.9, 'old', []),
        (MOVED_AT + 2.1, 'old', [Broken.LATE]),
        (MOVED_AT + 2.1, 'new', []),
        (DROPPED_AT + 2.1, 'new', [Broken.LATE]),
        (DROPPED_AT + 2.1, '', []),
        (MOVED_AT + 2.1, 'other', [Broken.NOT_ALLOWED]),
    ],
)
def test_request_of_an_older_version_is_late_after_the_bound(
    sent_at: float, service: str, expected: list[Broken]
) -> None:
    assert judge(make_sent(sent_at, service)) == expected


@pytest.mark.parametrize(
    ('scope', 'daemon', 'expected'),
    [
        (Scope.OWN, 'vm-00', []),
        (Scope.OWN, 'vm-01', [Broken.LATE]),
        (Scope.STORE, 'vm-01', []),
        (Scope.PARTIAL, 'vm-01', []),
        (Scope.NONE, 'vm-00', [Broken.LATE]),
    ],
)
def test_disruption_excuses_those_that_it_affects(
    scope: Scope, daemon: str, expected: list[Broken]
) -> None:
    sent = make_sent(MOVED_AT + 4, 'old')
    disruption = make_disruption(
        scope, ended_at=sent.sent_at - 2.5, daemon=daemon
    )
    assert judge(sent, disruption=disruption) == expected


def test_store_that_rejects_some_stretches_the_bound_once() -> None:
    sent = make_sent(MOVED_AT + 7.1, 'old')
    disruption = make_disruption(Scope.PARTIAL, ended_at=MOVED_AT + 6)
    assert judge(sent, disruption=disruption) == [Broken.LATE]


def test_daemon_out_of_touch_must_not_go_back() -> None:
    seen = make_sent(MOVED_AT + 0.1, 'new')
    sent = make_sent(MOVED_AT + 0.6, 'old')
    disruption = make_disruption(Scope.OWN, ended_at=MOVED_AT + 1)
    found = judge(seen, sent, disruption=disruption)
    assert found == [Broken.OLDER_AGAIN]


def test_daemon_may_start_again_with_an_older_version() -> None:
    seen = make_sent(MOVED_AT + 0.1, 'new')
    sent = make_sent(MOVED_AT + 0.6, 'old')
    sent.incarnation = 2
    assert not judge(seen, sent)


def test_request_sent_with_the_first_of_a_version_may_be_older() -> None:
    seen = make_sent(MOVED_AT + 0.1, 'new')
    sent = make_sent(MOVED_AT + 0.3, 'old')
    assert not judge(seen, sent)


@pytest.mark.parametrize(
    ('status', 'expected'), [(503, {Broken.NEVER_SERVED}), (200, set())]
)
def test_added_route_that_is_refused_is_never_served(
    status: int, expected: set[Broken]
) -> None:
    history = History()
    rules = {name: make_rule('old') for name in ('first-0', 'added-1')}
    history.add(Version(number=1, rules=rules, acked_at=FIRST_AT))
    requests = []
    for number in range(30):
        sent_at = FIRST_AT + 3 + number / 10
        requests.append(make_sent(sent_at, 'old', route='first-0'))
        added = make_sent(sent_at, route='added-1')
        added.status = status
        requests.append(added)
    findings = Judge(history=history, contact=Contact()).judge(requests)
    assert {finding.rule for finding in findings} == expected


def test_invalid_records_of_the_run_are_refused() -> None:
    operator = Operator(rng=random.Random(1))
    operator.change()
    operator.acknowledge()
    *invalid, _ = operator.list_invalid()
    for document in invalid:
        with pytest.raises(PlatformFormatError):
            decode_configuration(document)
