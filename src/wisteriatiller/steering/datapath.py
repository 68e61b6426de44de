"""The socket of the flow path: reads clients' packets, sends them on."""

import socket

from wisteriatiller.ids import Address
from wisteriatiller.network import EventLoop
from wisteriatiller.telemetry import Counters

from .packets import Forward, Refuse
from .ports import PacketCodec
from .steering import FlowSteering

MAX_DATAGRAM_BYTES = 65_535
# Bounds a turn of the loop, so that timers and pages are not starved.
MAX_DATAGRAMS_PER_TURN = 64
RECEIVE_BUFFER_BYTES = 1_048_576


def bind_data_socket(listen: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(listen)
    return bound


class DataPath:
    """Steers each datagram of a bound socket."""

    def __init__(
        self,
        loop: EventLoop,
        bound: socket.socket,
        codec: PacketCodec,
        steering: FlowSteering,
        counters: Counters,
    ):
        self._loop = loop
        self._codec = codec
        self._steering = steering
        self._counters = counters
        self._socket = bound
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = Address(*self._socket.getsockname())
        self._is_open = True

    def start(self) -> None:
        """Begin to read; what came before waits in the socket's buffer."""
        if self._is_open:
            self._loop.watch(self._socket, self._read)

    def close(self) -> None:
        self._is_open = False
        self._loop.watch(self._socket, None)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._counters.count("receive_errors", type(error).__name__)
                return
            self._handle(data)

    def _handle(self, data: bytes) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.count("packets_malformed")
            return
        decision = self._steering.steer(packet, self._loop.now_s())
        if isinstance(decision, Forward):
            self._counters.count("packets_forwarded")
            upstream = decision.upstream
            self._send(
                self._codec.for_upstream(data, upstream, decision.tag),
                upstream.address,
            )
        elif isinstance(decision, Refuse):
            self._send(*self._codec.reset(data))

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            # The client repeats what got lost here.
            self._counters.count("send_errors", type(error).__name__)
