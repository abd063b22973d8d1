"""A daemon whose address is in use exits with a usage error."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from test.system.mesh import TOKEN, find_ports

DAEMON = (sys.executable, '-m', 'goldcrestwharf', 'daemon')


@pytest.mark.parametrize(
    'taken',
    ['peer_address', 'caller_address', 'local_address'],
)
def test_address_in_use_is_reported(taken: str, tmp_path: Path) -> None:
    names = ('peer_address', 'caller_address', 'local_address')
    addresses = [f'127.0.0.1:{port}' for port in find_ports(len(names))]
    settings = {
        'vm': 'vm-1',
        'zone': 'recife-a',
        'cluster': 'test',
        'cluster_key': 'kL9-2vQx7_RtYp4WmZs8dFgHjB3nC6aE',
        'admin_token': TOKEN,
        'platform_url': 'http://127.0.0.1:1',
        **dict(zip(names, addresses, strict=True)),
    }
    path = tmp_path / 'daemon.jsonc'
    with socket.create_server(('127.0.0.1', 0)) as server:
        host, port = server.getsockname()
        settings[taken] = f'{host}:{port}'
        path.write_text(json.dumps(settings))
        ended = subprocess.run(
            [*DAEMON, '--settings', str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
    assert ended.returncode == 2, ended.stderr
    assert 'address already in use' in ended.stderr.lower()
    # The traceback of an exception group has "sub-exception" in its text.
    assert 'sub-exception' not in ended.stderr
    assert 'Traceback' not in ended.stderr
