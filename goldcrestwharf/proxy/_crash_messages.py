"""Messages that carry crash reports between daemons."""

from collections.abc import Iterator
from typing import Any

import attrs

from goldcrestwharf.proxy._codec import message
from goldcrestwharf.proxy._field_types import have_types, make_checks
from goldcrestwharf.quarantine import CrashReport

#: Message number; it must not change.
_CRASH_REPORTS = 16

_FIELDS = tuple(attrs.fields_dict(CrashReport))
_CHECKS = make_checks(CrashReport)


@message(_CRASH_REPORTS)
@attrs.define(kw_only=True)
class CrashReports:
    """Crash reports; the fields of each come in their declared order."""

    reports: list[tuple[Any, ...]]

    def unpack(self) -> Iterator[CrashReport]:
        """Yield the reports; raise :class:`ValueError` for a missing field."""
        for packed in self.reports:
            if not have_types(_CHECKS, packed):
                raise ValueError('a crash report has an odd field')
            report = CrashReport(**dict(zip(_FIELDS, packed, strict=True)))
            yield attrs.evolve(report, deaths=tuple(report.deaths))


def pack_reports(reports: tuple[CrashReport, ...]) -> CrashReports:
    """Return the message of crash reports."""
    return CrashReports(reports=[attrs.astuple(report) for report in reports])
