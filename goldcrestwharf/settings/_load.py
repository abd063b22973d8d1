"""Loading of the settings file of a daemon."""

from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from goldcrestwharf.documents import (
    Problems,
    drop_dependent_problems,
    read_document,
    read_file,
    refusals,
)
from goldcrestwharf.settings import (
    _check_addresses,
    _check_secrets,
    _check_seeds,
    _check_telemetry,
    _check_times,
)
from goldcrestwharf.settings._registry import SETTINGS, check_settings
from goldcrestwharf.settings._settings import DaemonSettings

#: Modules that register their checks when they are imported.
CHECK_MODULES = (
    _check_addresses,
    _check_secrets,
    _check_seeds,
    _check_telemetry,
    _check_times,
)


@attrs.frozen(kw_only=True)
class SettingsReview:
    """Settings of a file and all its problems.

    ``cfg`` is valid only if no problem is a refusal; it is ``None`` if the
    file can't be parsed.
    """

    cfg: DaemonSettings | None
    problems: Problems


def review_settings(raw: bytes) -> SettingsReview:
    """Parse and check settings, collecting all problems."""
    reading = read_document(raw, DaemonSettings, SETTINGS)
    if reading.model is None:
        return SettingsReview(cfg=None, problems=reading.problems)
    check_problems = check_settings(reading.model)
    added = drop_dependent_problems(check_problems, reading.problems)
    return SettingsReview(
        cfg=reading.model,
        problems=reading.problems + added,
    )


def parse_settings(raw: bytes) -> Result[DaemonSettings, Problems]:
    """Return the settings in ``raw``, or all its problems."""
    review = review_settings(raw)
    if review.cfg is None or refusals(review.problems):
        return Failure(review.problems)
    return Success(review.cfg)


def load_settings(path: Path) -> Result[DaemonSettings, Problems]:
    """Return the settings in the file at ``path``, or all its problems."""
    return read_file(path, SETTINGS).bind(parse_settings)
