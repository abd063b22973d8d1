import anyio
import pytest

_TURNS = 30


async def settle_quickly() -> None:
    """Run the event loop for a fixed number of turns."""
    turns = _TURNS
    while turns:
        await anyio.lowlevel.checkpoint()
        turns -= 1


@pytest.fixture
def quick_settle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Settle tasks by a fixed number of event loop turns.

    The fakes of these tests do no real I/O, so this reaches the same state
    as ``anyio.wait_all_tasks_blocked``, which polls by the clock.
    """
    monkeypatch.setattr(anyio, 'wait_all_tasks_blocked', settle_quickly)
