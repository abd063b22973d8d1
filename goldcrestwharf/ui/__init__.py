"""Offer the command line, thin over the library.

Each command stands in a module of its own, which registers it on ``app``.
"""

from goldcrestwharf.ui._app import app, main
from goldcrestwharf.ui._check import check_command
from goldcrestwharf.ui._settings_command import settings_command

__all__ = ('app', 'check_command', 'main', 'settings_command')
