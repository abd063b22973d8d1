"""Commented default file, generated from the schema."""

from goldcrestwharf.documents import render_commented
from goldcrestwharf.settings._check_secrets import PLACEHOLDER
from goldcrestwharf.settings._settings import DaemonSettings

_HEADER = """\
// Settings of a daemon of goldcrestwharf: JSON with comments.
// Replace the settings before "seeds". The others may be left out; they
// are here with their defaults. Check the file before you use it:
//   goldcrestwharf settings --check FILE
"""


def render_default() -> str:
    """Return the commented default file."""
    cfg = DaemonSettings(
        vm='vm-1',
        zone='recife-a',
        cluster='lunch',
        cluster_key=PLACEHOLDER,
        admin_token=PLACEHOLDER,
        peer_address='10.0.0.7:7001',
        caller_address='10.0.0.7:8080',
        local_address='127.0.0.1:7002',
        platform_url='http://10.0.0.9:7000',
    )
    return _HEADER + render_commented(cfg)
