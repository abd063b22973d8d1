"""Run a decoder in a child process whose processor time is limited.

The work of regular expressions and number conversions can't be counted. A
decoder that takes quadratic time needs over an hour for a value of the size of
the largest body, one that takes linear time some milliseconds.
"""

import multiprocessing
import resource
from collections.abc import Callable

#: Processor time for all long values in all fields of a document.
LIMIT_S = 60


def run_with_limit(decode_all: Callable[[str], None], name: str) -> bool:
    """Return whether ``decode_all(name)`` succeeds within the limit.

    ``decode_all`` must be a function of a module.
    """
    child = multiprocessing.get_context('spawn').Process(
        target=_run, args=(decode_all, name)
    )
    child.start()
    child.join()
    return child.exitcode == 0


def _run(decode_all: Callable[[str], None], name: str) -> None:
    resource.setrlimit(resource.RLIMIT_CPU, (LIMIT_S, LIMIT_S))
    decode_all(name)
