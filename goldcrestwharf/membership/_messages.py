"""Define the messages of comparisons, which are sent on streams."""

import attrs

from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._zones import ZoneReach
from goldcrestwharf.wire import message


@message('membership.compare_zones')
@attrs.frozen(kw_only=True)
class CompareZones:
    """Start of a comparison, with the digests of zones.

    If ``is_whole`` is true, the answer covers the zones of both daemons,
    otherwise only those in ``digests``. ``sender`` is the record of
    the asking daemon and ``running`` the version that it runs.
    """

    sender: Member
    running: str
    is_whole: bool
    digests: dict[str, int]
    reports: tuple[ZoneReach, ...] = ()


@message('membership.zone_differences')
@attrs.frozen(kw_only=True)
class ZoneDifferences:
    """Answer with the buckets' digests of each zone that differs.

    ``floor`` is the highest version that the answering daemon has stored
    for the asking one, or empty.
    """

    responder: Member
    running: str
    floor: str
    buckets: dict[str, tuple[int, ...]]
    reports: tuple[ZoneReach, ...] = ()


@attrs.frozen(kw_only=True)
class KnownKey:
    """Order key of the sender's record of one member."""

    vm: str
    incarnation: int
    revision: int
    rank: int


@attrs.frozen(kw_only=True)
class BucketKeys:
    """Keys of the sender's records in one bucket of a zone."""

    zone: str
    bucket: int
    keys: tuple[KnownKey, ...]


@message('membership.compare_keys')
@attrs.frozen(kw_only=True)
class CompareKeys:
    """Request for records that are newer or missing in some buckets."""

    sender: str
    buckets: tuple[BucketKeys, ...]


@message('membership.key_differences')
@attrs.frozen(kw_only=True)
class KeyDifferences:
    """Answer with newer records and the VMs whose record is wanted.

    ``is_more`` is true if the limit of one message left records out.
    """

    records: tuple[Member, ...]
    wanted: tuple[str, ...]
    is_more: bool


@message('membership.fetch')
@attrs.frozen(kw_only=True)
class Fetch:
    """Request for the records of some VMs, answered by :class:`Records`."""

    vms: tuple[str, ...]


@message('membership.records')
@attrs.frozen(kw_only=True)
class Records:
    """Records; as a call it is answered by :class:`RecordsMerged`."""

    records: tuple[Member, ...]


@message('membership.taken')
@attrs.frozen(kw_only=True)
class RecordsMerged:
    """Confirmation that records were merged."""


@message('membership.come_back')
@attrs.frozen(kw_only=True)
class RetryLater:
    """Refusal of a comparison for now; ``retry_after`` is in seconds."""

    retry_after: float
