"""Settings of a daemon: schema, parser and checks."""

from goldcrestwharf.settings._default import render_default
from goldcrestwharf.settings._load import (
    SettingsReview,
    load_settings,
    parse_settings,
    review_settings,
)
from goldcrestwharf.settings._settings import DaemonSettings

__all__ = (
    'DaemonSettings',
    'SettingsReview',
    'load_settings',
    'parse_settings',
    'render_default',
    'review_settings',
)
