"""Send the signals that stand for an operator's stop or a failing VM."""

import signal

from test.system.mesh import Process


def pause(process: Process) -> None:
    """Suspend a process, as a paused VM does."""
    process.send(signal.SIGSTOP)


def resume(process: Process) -> None:
    """Resume a paused process."""
    process.send(signal.SIGCONT)


def kill(process: Process) -> None:
    """Kill a process without a shutdown."""
    process.send(signal.SIGKILL)


def terminate(process: Process) -> None:
    """Ask a process to shut down gracefully."""
    process.send(signal.SIGTERM)
