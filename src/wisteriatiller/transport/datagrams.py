"""UDP sockets on the asyncio event loop."""

import asyncio
import socket

from wisteriatiller.exceptions import InvariantBroken
from wisteriatiller.foundation import (
    DatagramHandler,
    DatagramSocket,
    DatagramSocketFactory,
    Metrics,
    log_event,
    log_event_limited,
    stop_process,
)
from wisteriatiller.ids import Address

# Reading several datagrams per wake-up amortises the cost of an event loop iteration.
# The limit keeps a flooded socket from starving timers and streams.
MAX_DATAGRAMS_PER_WAKEUP = 64
MAX_DATAGRAM_BYTES = 65535
# Buffers about 100 ms of traffic at full rate while the event loop is busy. The kernel
# may grant less.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024


class UdpSocket(DatagramSocket):
    """A non-blocking UDP socket that passes received datagrams to a handler.

    Send errors are counted and logged, not raised: the datagram counts as lost.
    """

    def __init__(
        self,
        bound_socket: socket.socket,
        handle_datagram: DatagramHandler,
        metrics: Metrics,
    ):
        self._socket = bound_socket
        self._is_open = True
        self._handle_datagram = handle_datagram
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(bound_socket, self._read_datagrams)
        self.address = Address(*bound_socket.getsockname()[:2])

    def send(self, data, address):
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._metrics.count("datagrams.send_errors")
            log_event_limited(
                "datagram_send_failed",
                level="warning",
                destination=Address(*address),
                detail=error,
            )

    def close(self):
        if self._is_open:
            self._is_open = False
            self._loop.remove_reader(self._socket)
            self._socket.close()

    def _read_datagrams(self) -> None:
        """Read and handle the waiting datagrams, up to the limit for one wake-up."""
        handle_datagram = self._handle_datagram
        recvfrom = self._socket.recvfrom
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, sender = recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._metrics.count("datagrams.receive_errors")
                return
            try:
                handle_datagram(data, Address._make(sender[:2]))
            except InvariantBroken as error:
                stop_process(error)
            except Exception as error:
                self._metrics.count("datagrams.handler_errors")
                log_event(
                    "datagram_handler_failed",
                    level="error",
                    exc_info=error,
                    sender=Address._make(sender[:2]),
                )
            if not self._is_open:
                return


class UdpSocketFactory(DatagramSocketFactory):
    """Opens UDP sockets with large buffers, for IPv4 or IPv6 by the given address."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def open(self, address, handle_datagram):
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        bound_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound_socket.setblocking(False)
            bound_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
            )
            bound_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
            )
            bound_socket.bind((address.ip, address.port))
        except OSError:
            bound_socket.close()
            raise
        return UdpSocket(bound_socket, handle_datagram, self._metrics)
