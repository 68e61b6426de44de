"""Sending and receiving gossip messages, and matching replies by nonce."""

from collections.abc import Container

from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import (
    DatagramSocket,
    Environment,
    Message,
    log_event_limited,
)
from wisteriatiller.ids import Address, HostId

from .gossipmessages import decode_datagram, encode_datagram
from .zonereachability import ZONE_TIMEOUT_S

MAX_NONCES = 4096


class GossipTransport:
    """Sends messages as datagrams or over peer streams, and decodes datagrams."""

    def __init__(self, environment: Environment):
        self.address = environment.settings.peer_listen
        self._environment = environment
        self._keys = environment.settings.peer_keys
        self._metrics = environment.metrics
        self._port: DatagramSocket | None = None

    @property
    def is_open(self) -> bool:
        """Whether the socket was opened; remains true after ``close``."""
        return self._port is not None

    async def open(self, receive) -> None:
        """Open the socket and call ``receive(data, source)`` for each datagram."""
        self._port = await self._environment.datagrams.open(self.address, receive)
        self.address = getattr(self._port, "address", self.address)

    def close(self) -> None:
        if self._port is not None:
            self._port.close()

    def send(self, address: Address, value: Message) -> None:
        data = encode_datagram(self._keys, address, value)
        self._metrics.count("membership.datagrams_sent")
        self._metrics.count("membership.bytes_sent", len(data))
        self._port.send(data, address)

    def send_over_stream(self, host_id: HostId, value: Message) -> None:
        """Send a message that is too large for datagrams over the peer stream."""
        self._metrics.count("membership.stream_messages_sent")
        self._environment.peers.send(host_id, value)

    def decode(
        self, data: bytes, source: Address, accepted_types: Container[type]
    ) -> Message | None:
        """Return the message, or None if its digest or type is invalid."""
        self._metrics.count("membership.datagrams_received")
        self._metrics.count("membership.bytes_received", len(data))
        try:
            received = decode_datagram(self._keys, self.address, data)
            if type(received) not in accepted_types:
                raise MessageError(
                    f"unexpected {type(received).__name__} in a datagram"
                )
        except MessageError as error:
            self._metrics.count("membership.dropped_datagrams")
            log_event_limited(
                "datagram_dropped",
                level="warning",
                source=source,
                detail=error,
            )
            return None
        return received


class PendingNonces:
    """Maps the nonces of unanswered messages to the context of each message."""

    def __init__(self, environment: Environment):
        self._clock = environment.clock
        self._random = environment.random
        # In insertion order, so that ``expire`` finds the oldest nonces first.
        self._pending: dict[int, tuple[object, float]] = {}

    def __contains__(self, nonce: int) -> bool:
        return nonce in self._pending

    @property
    def is_full(self) -> bool:
        return len(self._pending) >= MAX_NONCES

    def add(self, context: object) -> int:
        """Return a new nonce that is mapped to ``context``."""
        nonce = new_nonce(self._random)
        self._pending[nonce] = (context, self._clock.now_s())
        return nonce

    def get(self, nonce: int):
        """Return the context of a pending nonce, or None."""
        context, _ = self._pending.get(nonce, (None, 0.0))
        return context

    def pop(self, nonce: int):
        """Remove a nonce and return its context, or None if it is not pending."""
        context, _ = self._pending.pop(nonce, (None, 0.0))
        return context

    def expire(self) -> None:
        """Remove the nonces that are older than ``ZONE_TIMEOUT_S``."""
        oldest_s = self._clock.now_s() - ZONE_TIMEOUT_S
        while self._pending:
            nonce = next(iter(self._pending))
            if self._pending[nonce][1] >= oldest_s:
                return
            del self._pending[nonce]


def new_nonce(random) -> int:
    # Never 0, which in a ``Push`` means that it belongs to no exchange.
    return random.getrandbits(48) + 1
