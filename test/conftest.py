import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run every asynchronous test on the backend that the daemons use."""
    return 'asyncio'
