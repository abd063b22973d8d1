"""Read the settings file of a daemon."""

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

#: The modules whose import fills the registry of checks.
CHECK_MODULES = (
    _check_addresses,
    _check_secrets,
    _check_seeds,
    _check_telemetry,
    _check_times,
)


@attrs.frozen(kw_only=True)
class SettingsReview:
    """Hold the settings that a file describes and all its problems.

    ``cfg`` is usable only if no problem is a refusal; it is ``None`` if the
    file can't be parsed at all.
    """

    cfg: DaemonSettings | None
    problems: Problems


def review_settings(raw: bytes) -> SettingsReview:
    """Read and check settings, collecting all problems in one pass."""
    reading = read_document(raw, DaemonSettings, SETTINGS)
    if reading.model is None:
        return SettingsReview(cfg=None, problems=reading.problems)
    further = check_settings(reading.model)
    own = drop_dependent_problems(further, reading.problems)
    return SettingsReview(
        cfg=reading.model,
        problems=reading.problems + own,
    )


def parse_settings(raw: bytes) -> Result[DaemonSettings, Problems]:
    """Return the settings that a text describes, or all its problems."""
    review = review_settings(raw)
    if review.cfg is None or refusals(review.problems):
        return Failure(review.problems)
    return Success(review.cfg)


def load_settings(path: Path) -> Result[DaemonSettings, Problems]:
    """Return the settings that a file describes, or all its problems."""
    return read_file(path, SETTINGS).bind(parse_settings)
