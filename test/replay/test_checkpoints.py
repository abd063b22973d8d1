import random

import anyio
import pytest

from goldcrestwharf.log import LogFaults, MemoryLog
from goldcrestwharf.replay import (
    CONFIG_STREAM,
    Checkpoint,
    Checkpointer,
    CheckpointPolicy,
    ReplaySettings,
    make_checkpoint,
    pack_record,
    unpack_record,
)
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED
from test.replay.followers import make_follower
from test.replay.helper import (
    StoredLog,
    make_epoch,
    make_publish,
    make_set,
    publish_chain,
    read_up_to,
)

CFG = ReplaySettings(
    retention_records=100,
    retention_s=1000,
    checkpoint_check_s=10,
    checkpoint_wait_s=20,
)
FIRST = make_set('menu')


@pytest.mark.parametrize(
    ('newest', 'seen_at', 'position', 'now', 'is_due'),
    [
        (-1, 0, 1, 1, True),
        (10, 0, 35, 250, False),
        (10, 0, 36, 250, True),
        (10, 0, 35, 251, True),
    ],
)
def test_a_checkpoint_is_due_after_a_quarter_of_the_retention(
    newest: int,
    seen_at: float,
    position: int,
    now: float,
    is_due: bool,
) -> None:
    policy = CheckpointPolicy(cfg=CFG)
    policy.record_newest(newest, seen_at)
    assert policy.is_due(read_up_to(position), now) is is_due


def test_an_older_checkpoint_does_not_count_as_newer() -> None:
    policy = CheckpointPolicy(cfg=CFG)
    policy.record_newest(10, 0)
    policy.record_newest(5, 200)
    assert policy.is_due(read_up_to(35), 251)


def test_a_checkpoint_is_due_once_the_last_record_of_the_newest_expired() -> (
    None
):
    policy = CheckpointPolicy(cfg=CFG)
    policy.record_newest(10, 0)
    assert not policy.is_due(read_up_to(12, first_offset=10), 1)
    assert policy.is_due(read_up_to(12, first_offset=11), 1)


def test_only_a_following_replica_makes_checkpoints() -> None:
    log = StoredLog()
    assert make_checkpoint(log.replay()) is None
    publish_chain(log, [FIRST])
    replica = log.replay()
    assert make_checkpoint(replica) is not None
    StoredLog().feed(replica, verify=True)
    assert make_checkpoint(replica) is None


async def run_checkpointers(count: int, faults: LogFaults) -> list[Checkpoint]:
    """Run several checkpointers for three quarters of the retention."""
    timers = ManualTimers()
    log = MemoryLog(timers=timers)
    await log.append(CONFIG_STREAM, [pack_record(make_publish(FIRST))])
    log.inject_faults(faults)
    async with anyio.create_task_group() as tg:
        for number in range(count):
            rng = random.Random(SEED + number)
            follower = make_follower(log, timers, CFG)
            checkpointer = Checkpointer(
                log=log,
                replica=follower.replica,
                timers=timers,
                rng=rng,
                cfg=CFG,
            )
            tg.start_soon(follower.run)
            tg.start_soon(checkpointer.run)
        await timers.advance(750)
        tg.cancel_scope.cancel()
    page = await log.read(CONFIG_STREAM, offset=1, limit=1000, wait=0)
    records = [unpack_record(record.body) for record in page.records]
    return [each for each in records if isinstance(each, Checkpoint)]


async def test_concurrent_checkpointers_append_one_checkpoint_per_quarter() -> (
    None
):
    alone = await run_checkpointers(1, LogFaults())
    together = await run_checkpointers(8, LogFaults())
    assert len(alone) == 3
    assert len(together) == 3


async def test_lost_append_answers_lead_to_no_extra_checkpoints() -> None:
    checkpoints = await run_checkpointers(2, LogFaults(lost_answers=2))
    assert [each.through for each in checkpoints] == [0, 1, 2]


async def test_a_corrupted_checkpoint_is_replaced_by_a_new_one() -> None:
    checkpoints = await run_checkpointers(1, LogFaults(corruptions=1))
    assert checkpoints[0].through == 1


def test_an_epoch_can_be_checkpointed() -> None:
    log = StoredLog()
    publish_chain(log, [FIRST])
    log.add(make_epoch(make_set('orders'), 2, 1))
    log.checkpoint()
    log.first_offset = 1
    assert log.replay().snapshot is not None
