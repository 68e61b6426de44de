"""Non-blocking datagram sockets for the stand-ins."""

import asyncio
import socket
from collections.abc import Callable

from wisteriatiller.ids import Address

# Reading a bounded batch at a wake-up saves event-loop turns under load and still
# lets timers run between batches.
BATCH_DATAGRAMS = 64
MAX_DATAGRAM_BYTES = 65535
# Bursts, such as all printers reconnecting, must not be lost in the stand-in.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class BatchSocket:
    """A UDP socket that passes each datagram to ``receive(data, sender)``."""

    def __init__(
        self, address: Address, receive: Callable[[bytes, tuple[str, int]], None]
    ):
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        self._socket.bind(tuple(address))
        self._receive = receive
        self.address = Address(*self._socket.getsockname()[:2])
        self.send_failures = 0
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read_batch)

    def _read_batch(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # Linux reports an unreachable port of an earlier send here.
                continue
            self._receive(data, sender)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, tuple(address))
        except OSError:
            self.send_failures += 1

    def close(self) -> None:
        self._loop.remove_reader(self._socket)
        self._socket.close()
