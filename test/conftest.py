import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run every asynchronous test on asyncio, as the daemons do."""
    return 'asyncio'
