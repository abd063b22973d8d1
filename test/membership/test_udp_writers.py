import anyio

from goldcrestwharf.membership import UdpDatagrams, open_udp
from test.helper import LOOPBACK


async def test_many_tasks_send_on_one_socket() -> None:
    one, other = await open_udp(LOOPBACK), await open_udp(LOOPBACK)
    received: list[bytes] = []

    async def send(number: int) -> None:
        await one.send(b'%d' % number, other.address())

    async with anyio.create_task_group() as tg:
        for number in range(50):
            tg.start_soon(send, number)
        while len(received) < 50:
            datagram = await other.receive()
            received.append(datagram.packed)
    assert sorted(received, key=int) == [b'%d' % one for one in range(50)]


async def test_busy_socket_delays_the_next_sender() -> None:
    sock = SlowSocket()
    datagrams = UdpDatagrams(sock=sock)
    async with anyio.create_task_group() as tg:
        for number in range(3):
            tg.start_soon(datagrams.send, b'%d' % number, '127.0.0.1:1')
    assert sock.sent == [b'0', b'1', b'2']


class SlowSocket:
    """Socket that raises for a second writer while one waits."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self._busy = False

    async def sendto(self, packed: bytes, host: str, port: int) -> None:
        if self._busy:
            raise anyio.BusyResourceError('writing to')
        self._busy = True
        await anyio.lowlevel.checkpoint()
        self._busy = False
        self.sent.append(packed)
