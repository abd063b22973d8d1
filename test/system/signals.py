"""Send processes what an operator or a failing VM sends them."""

import signal

from test.system.mesh import Process


def pause(process: Process) -> None:
    """Stop a process the way a paused VM stops."""
    process.send(signal.SIGSTOP)


def resume(process: Process) -> None:
    """Let a paused process go on."""
    process.send(signal.SIGCONT)


def kill(process: Process) -> None:
    """End a process with no warning."""
    process.send(signal.SIGKILL)


def terminate(process: Process) -> None:
    """Ask a process for a graceful stop."""
    process.send(signal.SIGTERM)
