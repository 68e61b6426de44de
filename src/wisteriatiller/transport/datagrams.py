"""Datagram sockets of a real host."""

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

# Reading several datagrams at a wake-up spreads the cost of the event loop's turn;
# the limit keeps a flooded socket from starving timers and streams.
MAX_DATAGRAMS_PER_WAKEUP = 64
MAX_DATAGRAM_BYTES = 65535
# Holds about 100 ms of a full-rate stream while the event loop is busy. The kernel
# may grant less.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024


class UdpSocket(DatagramSocket):
    """A non-blocking UDP socket that the event loop watches."""

    def __init__(
        self, bound: socket.socket, receive: DatagramHandler, metrics: Metrics
    ):
        self._socket = bound
        self._is_open = True
        self._receive = receive
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(bound, self._read)
        self.address = Address(*bound.getsockname()[:2])

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

    def _read(self) -> None:
        receive = self._receive
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
                receive(data, Address._make(sender[:2]))
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
    """Opens UDP sockets by IP number."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def open(self, address, receive):
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            bound.bind((address.ip, address.port))
        except OSError:
            bound.close()
            raise
        return UdpSocket(bound, receive, self._metrics)
