"""Offer the command line, thin over the library.

Each command stands in a module of its own, which registers it on ``app``.
"""

from goldcrestwharf.ui._app import app, main
from goldcrestwharf.ui._platform import platform
from goldcrestwharf.ui._publish import publish_command

__all__ = ('app', 'main', 'platform', 'publish_command')
