"""Set up a publisher of a log in memory."""

from goldcrestwharf.log import MemoryLog
from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.publishing import (
    Outcome,
    Proposal,
    Publisher,
    PublishingSettings,
)
from goldcrestwharf.replay import CONFIG_STREAM, Origin, Version
from goldcrestwharf.timers import ManualTimers
from test.helper import make_rng


class PublisherHarness:
    """A publisher and the log that it publishes to."""

    def __init__(
        self,
        *,
        log: MemoryLog | None = None,
        timers: ManualTimers | None = None,
    ) -> None:
        self.timers = timers or ManualTimers()
        self.log = log or MemoryLog(timers=self.timers)
        self.publisher = Publisher(
            log=self.log,
            timers=self.timers,
            rng=make_rng(),
            cfg=PublishingSettings(),
        )

    async def publish(self, proposal: Proposal) -> Outcome:
        return await self.publisher.publish(proposal)

    async def count_records(self) -> int:
        page = await self.log.read(
            CONFIG_STREAM,
            offset=0,
            limit=1,
            wait=0,
        )
        return page.end_offset


def propose(
    objects: ObjectSet,
    publish_id: str,
    base: Version | None = None,
) -> Proposal:
    return Proposal(
        id=publish_id,
        objects=objects,
        base=base,
        origin=Origin(author='ana'),
    )
