"""Check that an odd deadline of a caller fails no request."""

import pytest

from test.proxy.helper import open_vm, render, send_request


@pytest.mark.parametrize(
    'written', ['9' * 5000, '9' * 400, '-1', '1e9', 'inf', 'nan', '', '\u00b2']
)
async def test_odd_deadline_leaves_the_timeout_of_the_route(
    written: str,
) -> None:
    """A number that was too large was answered with 500."""
    async with open_vm() as vm:
        vm.send_heartbeat()
        message = render().replace(b'400', written.encode('latin-1'), 1)
        response = await send_request(vm, message)
        assert response.status == 200
