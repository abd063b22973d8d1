"""Check that the deployment files match the project."""

import os
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

from goldcrestwharf.platform._metrics_endpoint import (
    METRICS_PATH,
    METRICS_PORT,
)

PATTERN = r'[\w.-]+'
ROOT = Path(__file__).parents[2]


def test_requirements_are_pinned_as_in_the_project() -> None:
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    declared = project['project']['dependencies']
    required = (ROOT / 'requirements.txt').read_text().split()
    assert required
    assert set(required) <= set(declared)


def test_deployed_role_needs_no_package_beyond_its_requirements() -> None:
    declared = {'anyio', 'attr', 'attrs', 'httptools', 'msgpack', 'yaml'}
    declared |= {'opentelemetry', 'pythonjsonlogger', 'zstandard'}
    listing = (
        'import sys, importlib.metadata as metadata;'
        'import goldcrestwharf.platform._process;'
        'print(*(set(metadata.packages_distributions()) & set(sys.modules)))'
    )
    loaded = subprocess.run(
        [sys.executable, '-c', listing],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    undeclared = {'cattrs', 'h11', 'httpx', 'hypercorn', 'returns', 'starlette'}
    assert declared & set(loaded)
    assert not undeclared & set(loaded)


def test_deployed_role_starts_the_adapter() -> None:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    for role in deploy['roles'].values():
        assert role['run'] == 'python3 -m goldcrestwharf.platform'
        assert role['metrics'] == f'{METRICS_PORT}{METRICS_PATH}'
    assert (ROOT / 'goldcrestwharf' / 'platform' / '__main__.py').exists()


def test_reload_signal_during_the_start_is_ignored(tmp_path: Path) -> None:
    """SIGHUP arrives while the process waits for its settings."""
    settings = tmp_path / 'settings'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, '-m', 'goldcrestwharf.platform'],
        cwd=ROOT,
        env={**os.environ, 'GOLDCRESTWHARF_BOOT': str(settings)},
        stderr=subprocess.DEVNULL,
    )
    # open() blocks until the process has opened the pipe for reading.
    with settings.open('w') as writing:
        process.send_signal(signal.SIGHUP)
        writing.write('- no table')
    assert process.wait() > 0


def test_names_of_the_platform_occur_only_in_the_adapter() -> None:
    names = (
        'Response-Seal',
        'Expect-Instance',
        'Not-Executed',
        'GOLDCRESTWHARF_BOOT',
        'slot_count',
        'traffic_split',
        'log-append',
        'keyed.op',
    )
    adapter = ROOT / 'goldcrestwharf' / 'platform'
    for path in (ROOT / 'goldcrestwharf').rglob('*.py'):
        if adapter in path.parents:
            continue
        written = path.read_text()
        leaked = set(names).intersection(re.findall(PATTERN, written))
        assert not leaked, path


def test_daemon_packages_do_not_import_heavy_libraries() -> None:
    heavy = {'httpx', 'hypercorn', 'starlette', 'cattrs', 'typer', 'h11'}
    for package in ('http1', 'policy', 'placement', 'admission', 'proxy'):
        for path in (ROOT / 'goldcrestwharf' / package).glob('*.py'):
            imported = re.findall(
                r'^(?:import|from) (\w+)',
                path.read_text(),
                re.MULTILINE,
            )
            assert not heavy.intersection(imported), path
