import attrs
import pytest

from goldcrestwharf.objects import (
    ObjectDelta,
    ObjectSet,
    RemovedNames,
    Route,
    digest_of,
    encode_delta,
)
from goldcrestwharf.replay import (
    EpochStart,
    Publish,
    RefusalReason,
    Replica,
    ReplicaState,
    Version,
    make_checkpoint,
    report_replica,
)
from test.replay.helper import (
    StoredLog,
    make_epoch,
    make_publish,
    make_set,
    make_snapshot,
    publish_chain,
    version_of,
)

FIRST = make_set('menu')
SECOND = make_set('menu', 'orders')
THIRD = make_set('orders')
V0 = Version(1, 0)

DANGLING = ObjectSet(routes={'web': Route(service='gone')})


def next_publish(new: ObjectSet = SECOND) -> Publish:
    return make_publish(new, base=V0, old=FIRST, publish_id='next')


def test_accepted_publishes_follow_one_another() -> None:
    log = StoredLog()
    versions = publish_chain(log, [FIRST, SECOND, THIRD])
    snapshot = log.replay().snapshot
    assert versions == [V0, Version(1, 1), Version(1, 2)]
    assert snapshot is not None
    assert (snapshot.version, snapshot.objects) == (versions[-1], THIRD)


@pytest.mark.parametrize(
    ('publish', 'reason'),
    [
        pytest.param(
            make_publish(SECOND),
            RefusalReason.SUPERSEDED,
            id='no base',
        ),
        pytest.param(
            attrs.evolve(next_publish(), base=Version(1, 7)),
            RefusalReason.SUPERSEDED,
            id='base to come',
        ),
        pytest.param(
            attrs.evolve(next_publish(), base=Version(2, 0)),
            RefusalReason.SUPERSEDED,
            id='base of another epoch',
        ),
        pytest.param(
            attrs.evolve(next_publish(), delta=b'junk'),
            RefusalReason.MALFORMED,
            id='malformed delta',
        ),
        pytest.param(
            attrs.evolve(
                next_publish(),
                delta=encode_delta(
                    ObjectDelta(removed=RemovedNames(routes=('gone',))),
                ),
            ),
            RefusalReason.MISFIT,
            id='delta removes what is not there',
        ),
        pytest.param(
            attrs.evolve(next_publish(), digest=digest_of(THIRD)),
            RefusalReason.DIGEST,
            id='other digest',
        ),
        pytest.param(
            next_publish(DANGLING),
            RefusalReason.INVALID,
            id='dangling reference',
        ),
    ],
)
def test_a_refused_publish_changes_nothing(
    publish: Publish,
    reason: RefusalReason,
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(publish)
    replica = log.replay()
    decision = replica.journal.decisions[-1]
    assert decision.refusal is not None
    assert decision.refusal.reason is reason
    assert decision.refusal.current == V0
    assert replica.snapshot == make_snapshot(FIRST, V0)


def test_of_concurrent_publishes_the_first_in_the_log_wins() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(
        make_publish(SECOND, base=V0, old=FIRST, publish_id='winner'),
        make_publish(THIRD, base=V0, old=FIRST, publish_id='loser'),
    )
    replica = log.replay()
    won, lost = replica.journal.find('winner'), replica.journal.find('loser')
    assert won is not None
    assert won.version == version_of(replica) == Version(1, 1)
    assert lost is not None
    assert lost.refusal is not None
    assert lost.refusal.current == won.version


def test_a_record_delivered_twice_takes_effect_once() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(next_publish(), next_publish())
    replica = log.replay()
    found = replica.journal.find('next')
    assert version_of(replica) == Version(1, 1)
    assert found is not None
    assert found.version == Version(1, 1)


def test_corrupt_and_foreign_records_are_skipped_and_counted() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    whole = log.bodies[0]
    log.add(whole[:-1], b'foreign', next_publish())
    replica = log.replay()
    skipped = report_replica(replica).skipped
    assert (skipped.corrupt, skipped.foreign, skipped.unknown) == (1, 1, 0)
    assert version_of(replica) == Version(1, 3)


def test_unknown_rules_halt_a_replica_at_its_version() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(attrs.evolve(next_publish(), rules=99))
    log.add(make_publish(THIRD, base=V0, old=FIRST))
    replica = log.replay()
    assert replica.state is ReplicaState.HALTED
    assert '99' in replica.halt_reason
    assert version_of(replica) == V0
    assert replica.cursor.position == 1


def test_unknown_rules_of_a_losing_publish_do_not_halt() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    log.add(attrs.evolve(next_publish(), rules=99))
    replica = log.replay()
    assert replica.state is ReplicaState.FOLLOWING
    assert version_of(replica) == Version(1, 1)


def test_a_fresh_replica_starts_at_the_first_usable_checkpoint() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    late = Replica()
    late.receive(log.page(0, 1))
    log.checkpoint()
    publish_chain(log, [THIRD])
    log.checkpoint(late)
    log.first_offset = 1
    assert log.replay().snapshot == log.feed(late).snapshot
    log.first_offset = 2
    without_start = log.replay()
    assert without_start.state is ReplicaState.NEEDS_PEERS
    assert without_start.snapshot is None


def test_a_late_checkpoint_never_lowers_the_version() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    paused = log.replay()
    publish_chain(log, [SECOND])
    following = log.replay()
    log.checkpoint(paused)
    log.feed(following)
    assert version_of(following) == Version(1, 1)
    assert version_of(log.replay()) == Version(1, 1)


def test_a_checkpoint_of_another_log_is_not_a_start_point() -> None:
    other = StoredLog()
    publish_chain(other, [FIRST, THIRD])
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    log.checkpoint(other.replay())
    log.first_offset = 1
    assert log.replay().state is ReplicaState.NEEDS_PEERS


@pytest.mark.parametrize(
    'damage',
    [
        {'objects': b'junk'},
        {'digest': digest_of(THIRD)},
        {'version': Version(1, 9)},
    ],
)
def test_a_damaged_checkpoint_is_not_a_start_point(
    damage: dict[str, object],
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    whole = make_checkpoint(log.replay())
    assert whole is not None
    snapshot = attrs.evolve(whole.snapshot, **damage)
    log.add(attrs.evolve(whole, snapshot=snapshot))
    log.first_offset = 1
    assert log.replay().state is ReplicaState.NEEDS_PEERS


@pytest.mark.parametrize(
    ('objects', 'version', 'through', 'is_adopted'),
    [
        pytest.param(SECOND, Version(1, 1), None, True, id='kept record'),
        pytest.param(THIRD, Version(1, 1), None, False, id='other content'),
        pytest.param(FIRST, V0, None, True, id='adjacent to the first kept'),
        pytest.param(FIRST, V0, 9, False, id='peer ahead of this reader'),
    ],
)
def test_a_replica_without_a_start_point_continues_from_a_peer(
    objects: ObjectSet,
    version: Version,
    through: int | None,
    is_adopted: bool,
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND, THIRD])
    log.first_offset = 1
    replica = log.replay()
    snapshot = make_snapshot(objects, version)
    assert replica.adopt(snapshot, through) is is_adopted
    expected = Version(1, 2) if is_adopted else None
    assert version_of(replica) == expected


def test_a_following_replica_adopts_nothing() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    replica = log.replay()
    assert not replica.adopt(make_snapshot(SECOND, Version(1, 0)))
    assert replica.snapshot == make_snapshot(FIRST, V0)


def test_a_paused_replica_catches_up_across_a_gap() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    paused = log.replay()
    publish_chain(log, [SECOND, THIRD])
    log.checkpoint()
    log.first_offset = 2
    log.feed(paused)
    assert version_of(paused) == Version(1, 2)


@pytest.mark.parametrize('has_log_id', [True, False])
@pytest.mark.parametrize('later_sets', [[], [THIRD], [THIRD, FIRST, SECOND]])
def test_a_replaced_log_is_detected_and_never_lowers_the_version(
    later_sets: list[ObjectSet], has_log_id: bool
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    replica = log.replay()
    replaced = StoredLog()
    publish_chain(replaced, later_sets)
    if not has_log_id:
        replaced.log_id = ''
    replaced.feed(replica, verify=True)
    assert replica.state is ReplicaState.LOG_REPLACED
    assert replica.snapshot is None


def test_a_log_replaced_and_grown_unseen_is_found_by_its_identity() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    replica = log.replay()
    replaced = StoredLog()
    publish_chain(replaced, [SECOND, THIRD])
    replaced.feed(replica)
    assert replica.state is ReplicaState.LOG_REPLACED
    assert replica.snapshot is None


@pytest.mark.parametrize(
    'other',
    [
        pytest.param(make_publish(SECOND, base=Version(2, 0)), id='epoch'),
        pytest.param(make_publish(SECOND, base=Version(1, 5)), id='later'),
        pytest.param(make_epoch(SECOND, 2, 1), id='epoch start'),
    ],
)
def test_a_record_that_was_refused_confirms_no_snapshot_of_a_peer(
    other: Publish | EpochStart,
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(other)
    log.first_offset = 1
    replica = log.replay()
    assert not replica.adopt(make_snapshot(SECOND, Version(1, 1)))


def test_a_first_record_without_the_base_confirms_no_snapshot_of_a_peer() -> (
    None
):
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(make_publish(SECOND))
    log.first_offset = 1
    assert not log.replay().adopt(make_snapshot(FIRST, V0))


def test_an_epoch_start_ends_the_log_replaced_state() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    replica = log.replay()
    replaced = StoredLog()
    publish_chain(replaced, [THIRD])
    replaced.add(make_epoch(SECOND, 2, 1))
    publish_chain(replaced, [THIRD])
    replaced.feed(replica, verify=True)
    assert replica.state is ReplicaState.FOLLOWING
    assert version_of(replica) == Version(2, 2)
    assert version_of(replaced.replay()) == Version(2, 2)


def test_the_original_log_is_followed_again_when_it_returns() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    replica = log.replay()
    StoredLog().feed(replica, verify=True)
    assert replica.state is ReplicaState.LOG_REPLACED
    log.feed(replica)
    assert replica.state is ReplicaState.FOLLOWING
    assert version_of(replica) == Version(1, 1)


@pytest.mark.parametrize(
    ('epoch', 'offset', 'is_accepted'),
    [(2, 1, True), (5, 1, True), (1, 1, False), (2, 0, False), (2, 2, False)],
)
def test_an_epoch_starts_only_where_its_author_saw_the_end(
    epoch: int,
    offset: int,
    is_accepted: bool,
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(make_epoch(SECOND, epoch, offset))
    expected = Version(epoch, offset) if is_accepted else V0
    assert version_of(log.replay()) == expected


def test_of_concurrent_epoch_starts_one_counts_wherever_a_reader_starts() -> (
    None
):
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(make_epoch(SECOND, 2, 1, 'a'), make_epoch(THIRD, 2, 1, 'b'))
    following = log.replay()
    assert version_of(following) == Version(2, 1)
    log.first_offset = 2
    assert log.replay().snapshot is None


def test_a_seeking_replica_starts_at_an_epoch() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    log.add(make_epoch(THIRD, 2, 2))
    log.first_offset = 1
    assert version_of(log.replay()) == Version(2, 2)


def test_a_floor_above_the_log_marks_the_log_as_replaced() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST, SECOND])
    replica = log.replay()
    replica.lineage.record_version(Version(1, 5))
    log.feed(replica)
    assert replica.state is ReplicaState.FOLLOWING
    log.feed(replica)
    assert replica.state is ReplicaState.LOG_REPLACED
    assert replica.snapshot is None


def test_a_floor_that_the_log_reaches_does_not_mark_it_replaced() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    replica = log.replay()
    replica.lineage.record_version(Version(1, 1))
    log.feed(replica)
    publish_chain(log, [SECOND])
    log.feed(replica)
    assert replica.state is ReplicaState.FOLLOWING
    assert version_of(replica) == Version(1, 1)


def test_a_log_that_skips_a_known_version_is_marked_as_replaced() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(b'foreign')
    publish_chain(log, [SECOND])
    replica = Replica()
    replica.lineage.record_version(Version(1, 1))
    log.feed(replica)
    assert replica.state is ReplicaState.LOG_REPLACED
    assert replica.snapshot is None


@pytest.mark.parametrize(
    ('objects', 'expected'),
    [(FIRST, ReplicaState.FOLLOWING), (THIRD, ReplicaState.LOG_REPLACED)],
)
def test_a_known_digest_distinguishes_logs(
    objects: ObjectSet,
    expected: ReplicaState,
) -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    replica = Replica()
    replica.lineage.record_version(V0, digest_of(objects))
    assert log.feed(replica).state is expected
