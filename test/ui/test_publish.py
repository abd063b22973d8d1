"""Tests of publishing through a daemon: the token and the exit codes."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from goldcrestwharf.ui import app

SET = 'examples/lunch.jsonc'
TOKEN = 'a token for tests'

runner = CliRunner()


class Daemon(BaseHTTPRequestHandler):
    """A daemon that requires the token and accepts every publish."""

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers['content-length']))
        is_known = self.headers['authorization'] == f'Bearer {TOKEN}'
        body = {'outcome': 'published', 'version': '1.7'}
        self.send_response(200 if is_known else 401)
        self.end_headers()
        self.wfile.write(json.dumps(body if is_known else {}).encode())

    def log_message(self, *args: object) -> None:
        """Suppress the log of requests in the tests' output."""


@pytest.fixture(scope='module')
def address() -> Iterator[str]:
    server = HTTPServer(('127.0.0.1', 0), Daemon)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f'127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


def publish(path: str, *args: str, **env: str) -> Result:
    env = {'GOLDCRESTWHARF_TOKEN': '', **env}
    return runner.invoke(app, ['publish', path, *args], env=env)


def test_token_of_the_option_is_accepted(address: str) -> None:
    outcome = publish(SET, '--daemon', address, '--token', TOKEN)
    assert outcome.exit_code == 0
    assert outcome.stdout == 'published as version 1.7\n'


def test_token_of_the_environment_is_accepted(address: str) -> None:
    outcome = publish(SET, '--daemon', address, GOLDCRESTWHARF_TOKEN=TOKEN)
    assert outcome.exit_code == 0


@pytest.mark.parametrize('args', [(), ('--token', 'wrong')])
def test_wrong_token_is_not_an_unknown_outcome(
    address: str,
    args: tuple[str, ...],
) -> None:
    outcome = publish(SET, '--daemon', address, *args)
    assert outcome.exit_code == 1
    assert 'refused the token' in outcome.stderr
    assert 'publish the same file again' not in outcome.stderr


def test_file_with_invalid_utf8_is_refused(
    address: str, tmp_path: Path
) -> None:
    path = tmp_path / 'set.jsonc'
    path.write_bytes(b'\xff{}')
    outcome = publish(str(path), '--daemon', address, '--token', TOKEN)
    assert outcome.exit_code == 1
    assert 'not valid UTF-8' in outcome.stderr
