"""The command line, a thin layer over the library.

Each command has its own module, which registers it on ``app``.
"""

from goldcrestwharf.ui._app import app, main
from goldcrestwharf.ui._check import check_command
from goldcrestwharf.ui._crashes import crashes_command
from goldcrestwharf.ui._daemon_command import daemon_command
from goldcrestwharf.ui._demo import demo_command
from goldcrestwharf.ui._diff import diff_command
from goldcrestwharf.ui._explain import explain_command
from goldcrestwharf.ui._history import history_command
from goldcrestwharf.ui._platform import platform_command
from goldcrestwharf.ui._publish import publish_command
from goldcrestwharf.ui._review import review_command
from goldcrestwharf.ui._settings_command import settings_command
from goldcrestwharf.ui._status import status_command

__all__ = (
    'app',
    'check_command',
    'crashes_command',
    'daemon_command',
    'demo_command',
    'diff_command',
    'explain_command',
    'history_command',
    'main',
    'platform_command',
    'publish_command',
    'review_command',
    'settings_command',
    'status_command',
)
