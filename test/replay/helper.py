"""Make sets and the records of the configuration stream."""

import uuid
from collections.abc import Iterable, Sequence

from goldcrestwharf.log import LogPage, LogRecord
from goldcrestwharf.objects import (
    RULES_REVISION,
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    diff,
    digest_of,
    encode_delta,
)
from goldcrestwharf.replay import (
    EpochStart,
    Publish,
    Replica,
    Snapshot,
    Version,
    make_checkpoint,
    pack_record,
    pack_snapshot,
)

PAGE_RECORDS = 3


def make_set(*names: str, timeout_ms: int = 2000) -> ObjectSet:
    """Return a valid set with a service and its route for each name."""
    services = {
        name: Service(target_group='pool', timeout_ms=timeout_ms)
        for name in names
    }
    routes = {
        f'{name}-web': Route(service=name, path_prefix=f'/{name}')
        for name in names
    }
    return ObjectSet(
        target_groups={'pool': TargetGroup()} if names else {},
        services=services,
        routes=routes,
    )


def make_publish(
    new: ObjectSet,
    *,
    base: Version | None = None,
    old: ObjectSet | None = None,
    publish_id: str = 'p',
    rules: int = RULES_REVISION,
) -> Publish:
    return Publish(
        id=publish_id,
        base=base,
        rules=rules,
        delta=encode_delta(diff(old or ObjectSet(), new)),
        digest=digest_of(new),
    )


def make_epoch(
    objects: ObjectSet,
    epoch: int,
    offset: int,
    start_id: str = 'e',
) -> EpochStart:
    snapshot = make_snapshot(objects, Version(epoch, offset))
    return EpochStart(id=start_id, snapshot=pack_snapshot(snapshot))


def make_snapshot(objects: ObjectSet, version: Version) -> Snapshot:
    return Snapshot(
        version=version,
        digest=digest_of(objects),
        objects=objects,
    )


class StoredLog:
    """A log in memory: its record bodies and its retention bound."""

    def __init__(self, bodies: Iterable[bytes] = ()) -> None:
        self.bodies = list(bodies)
        self.first_offset = 0
        self.log_id = uuid.uuid4().hex

    def add(self, *records: object) -> int:
        """Append records and return the offset of the last one."""
        for record in records:
            body = record if isinstance(record, bytes) else pack_record(record)
            self.bodies.append(body)
        return len(self.bodies) - 1

    def page(self, offset: int, limit: int = PAGE_RECORDS) -> LogPage:
        start = max(offset, self.first_offset)
        end = min(start + limit, len(self.bodies))
        return LogPage(
            records=tuple(
                LogRecord(offset=index, body=self.bodies[index])
                for index in range(start, end)
            ),
            first_offset=self.first_offset,
            end_offset=len(self.bodies),
            log_id=self.log_id,
        )

    def feed(self, replica: Replica, *, verify: bool = False) -> Replica:
        """Make ``replica`` read to the end, as a follower does."""
        if verify:
            position = replica.cursor.position
            replica.receive(self.page(max(position - 1, 0), 1))
        while not replica.halt_reason:
            replica.receive(self.page(replica.cursor.position))
            if replica.cursor.position == len(self.bodies):
                break
        return replica

    def replay(self) -> Replica:
        """Return a new replica that has read the whole log."""
        return self.feed(Replica())

    def checkpoint(self, replica: Replica | None = None) -> int:
        """Append a checkpoint of ``replica`` and return its offset."""
        checkpoint = make_checkpoint(replica or self.replay())
        assert checkpoint is not None
        return self.add(checkpoint)


def publish_chain(
    log: StoredLog,
    sets: Sequence[ObjectSet],
) -> list[Version]:
    """Publish sets one after the other and return their versions."""
    versions: list[Version] = []
    for number, objects in enumerate(sets):
        current = log.replay().snapshot
        offset = log.add(
            make_publish(
                objects,
                base=None if current is None else current.version,
                old=None if current is None else current.objects,
                publish_id=f'p{number}',
            ),
        )
        epoch = 1 if current is None else current.version.epoch
        versions.append(Version(epoch, offset))
    return versions


def version_of(replica: Replica) -> Version | None:
    snapshot = replica.snapshot
    return None if snapshot is None else snapshot.version


def read_up_to(position: int, first_offset: int = 0) -> Replica:
    """Return a replica that has read foreign records up to a position."""
    log = StoredLog(b'' for _ in range(position))
    log.first_offset = first_offset
    return log.replay()
