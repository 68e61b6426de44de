"""The data path: reads client packets from a socket and carries out decisions."""

import socket
from collections.abc import Iterable

from wisteriatiller.ids import Address
from wisteriatiller.network import PAUSE_THRESHOLD_S, EventLoop
from wisteriatiller.telemetry import Counters

from .packets import FlowReset, Forward, Refuse
from .ports import PacketCodec
from .sendqueue import MAX_HELD_BYTES, SendQueue
from .steering import FlowSteering

MAX_DATAGRAM_BYTES = 65_535
# Bounds the final read of a stopping host while packets keep arriving.
MAX_BATCHES_AT_CLOSE = 32
# Bounds one iteration of the event loop, so that timers and pages are not starved.
MAX_DATAGRAMS_PER_BATCH = 64
RECEIVE_BUFFER_BYTES = 1_048_576


def bind_data_socket(listen: Address) -> socket.socket:
    data_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    data_socket.bind(listen)
    return data_socket


class DataPath:
    """Steers each datagram of a bound socket and sends the result."""

    def __init__(
        self,
        loop: EventLoop,
        data_socket: socket.socket,
        codec: PacketCodec,
        steering: FlowSteering,
        counters: Counters,
    ):
        self._loop = loop
        self._codec = codec
        self._steering = steering
        self._counters = counters
        self._socket = data_socket
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = Address(*self._socket.getsockname())
        is_holding = steering.settings.uses_zone_findings
        self._queue = SendQueue(
            data_socket, counters, MAX_HELD_BYTES if is_holding else 0
        )
        counters.register_gauge("held_bytes", lambda: self._queue.held_bytes)
        self._is_open = True
        self._is_suspended = True
        # Whether packets from a time of suspension may still be in the socket buffer.
        self.is_behind = False

    def start(self) -> None:
        """Start or resume reading, beginning with the packets in the socket buffer."""
        if self._is_open:
            self._is_suspended = False
            self._watch()

    def suspend(self) -> None:
        """Leave packets in the socket buffer until ``start``."""
        self._steering.recorder.suspend()
        self._is_suspended = self.is_behind = True
        self._watch()

    def send_resets(self, resets: Iterable[FlowReset]) -> None:
        """Reset flows that no packet has called for."""
        for reset in resets:
            self._send(*self._codec.encode_flow_reset(reset.flow, reset.sequence))

    def close(self) -> None:
        """Steer the packets in the socket buffer, then close the socket."""
        self._is_open = False
        self._loop.watch(self._socket, None)
        for _ in range(MAX_BATCHES_AT_CLOSE):
            if not self._steer_batch():
                break
        self._queue.close()
        self._socket.close()

    def _watch(self) -> None:
        """Watch the socket for packets to read, and for room if packets are held."""
        if not self._is_open:
            return
        self._loop.watch(
            self._socket,
            None if self._is_suspended else self._on_readable,
            self._on_writable if self._queue.is_holding else None,
        )

    def _on_readable(self) -> None:
        # The loop may have found the socket readable before reading was suspended.
        if not self._is_suspended and not self._steer_batch() and self.is_behind:
            self.is_behind = False
            self._steering.recorder.resume()

    def _on_writable(self) -> None:
        self._queue.flush()
        if not self._queue.is_holding:
            self._watch()

    def _steer_batch(self) -> bool:
        """Steer one batch of packets; return whether more may be waiting."""
        started_s = self._loop.now_s()
        for _ in range(MAX_DATAGRAMS_PER_BATCH):
            if self._loop.now_s() - started_s > PAUSE_THRESHOLD_S:
                # The process was paused. The next iteration of the loop reports it
                # before more packets are steered.
                return True
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            except OSError as error:
                self._counters.count("receive_errors", type(error).__name__)
                return False
            self._steer_datagram(data)
        return True

    def _steer_datagram(self, data: bytes) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.count("packets_malformed")
            return
        decision = self._steering.steer(packet, self._loop.now_s())
        if isinstance(decision, Forward):
            self._counters.count("packets_forwarded")
            upstream = decision.upstream
            self._send(
                self._codec.encode_for_upstream(data, upstream, decision.tag),
                upstream.address,
            )
        elif isinstance(decision, Refuse):
            self._send(*self._codec.encode_reset(data))

    def _send(self, data: bytes, address: Address) -> None:
        was_holding = self._queue.is_holding
        self._queue.send(data, address)
        if self._queue.is_holding and not was_holding:
            self._watch()
