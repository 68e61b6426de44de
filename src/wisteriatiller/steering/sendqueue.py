"""Sends datagrams, and holds some back while the host's link is full."""

import socket
from collections import deque
from typing import NamedTuple

from wisteriatiller.ids import Address
from wisteriatiller.telemetry import Counters

# As much as a link of 5 Mbit/s sends in 400 ms. Of a packet that waits longer, the
# client sends its second copy, after 600 ms.
MAX_HELD_BYTES = 250_000
# A larger buffer would hide packets from the check for copies.
SEND_BUFFER_BYTES = 32_768


class _Datagram(NamedTuple):
    data: bytes
    address: Address


class SendQueue:
    """A bounded queue before a non-blocking socket; it keeps the order of datagrams.

    Without it, each datagram that meets a full send buffer would be lost. A copy of a
    datagram that is still held is dropped, since it would take the place of others.
    With ``max_held_bytes`` 0, nothing is held.
    """

    def __init__(
        self, data_socket: socket.socket, counters: Counters, max_held_bytes: int
    ):
        self._socket = data_socket
        self._counters = counters
        self._max_held_bytes = max_held_bytes
        if max_held_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        self._held: deque[_Datagram] = deque()
        self._contents: set[_Datagram] = set()
        self.held_bytes = 0

    @property
    def is_holding(self) -> bool:
        return bool(self._held)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram now, or once those before it are sent."""
        if self._held or not self._try_send(data, address):
            self._hold(_Datagram(data, address))

    def flush(self) -> None:
        """Send what is held, as far as the socket takes it."""
        while self._held:
            datagram = self._held[0]
            if not self._try_send(datagram.data, datagram.address):
                return
            self._held.popleft()
            self._contents.discard(datagram)
            self.held_bytes -= len(datagram.data)

    def close(self) -> None:
        """Send what the socket still takes, and drop the rest."""
        self.flush()
        if self._held:
            self._counters.count("datagrams_dropped", "closed", len(self._held))
        self._held.clear()
        self._contents.clear()
        self.held_bytes = 0

    def _hold(self, datagram: _Datagram) -> None:
        if not self._max_held_bytes:
            self._counters.count("send_errors", BlockingIOError.__name__)
            return
        if datagram in self._contents:
            self._counters.count("datagrams_dropped", "copy")
            return
        if self.held_bytes + len(datagram.data) > self._max_held_bytes:
            self._counters.count("datagrams_dropped", "link_full")
            return
        self._counters.count("datagrams_held")
        self._held.append(datagram)
        self._contents.add(datagram)
        self.held_bytes += len(datagram.data)

    def _try_send(self, data: bytes, address: Address) -> bool:
        """Send a datagram; False if it has to wait for room in the socket's buffer."""
        try:
            self._socket.sendto(data, address)
        except BlockingIOError:
            return False
        except OSError as error:
            # Waiting would not help. The client retransmits the packet.
            self._counters.count("send_errors", type(error).__name__)
        return True
