"""Ports: what the program needs from its surroundings.

Each port is a small abstract base. Adapters for real hosts are in sibling modules
(``datagrams``, ``peers``, ``consul``, ``metrics``); tests bring their own.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wisteriatiller.ids import Address, HostId
from wisteriatiller.outcomes import Conflict, StoreUnavailable, Unreachable

from .messages import Message


class Clock(ABC):
    """A monotonic clock in seconds."""

    @abstractmethod
    def now_s(self) -> float: ...


class EventLoopClock(Clock):
    """The clock of the running event loop, which tests can virtualise."""

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()


class DatagramSocket(ABC):
    """A bound datagram socket.

    ``receive`` is called with the bytes and the sender's address of each datagram.
    """

    @abstractmethod
    def send(self, data: bytes, address: Address) -> None: ...

    @abstractmethod
    def close(self) -> None: ...


DatagramHandler = Callable[[bytes, Address], None]


class DatagramSocketFactory(ABC):
    """Opens datagram sockets."""

    @abstractmethod
    async def open(
        self, address: Address, handle_datagram: DatagramHandler
    ) -> DatagramSocket:
        """Bind a socket to ``address`` and pass received datagrams to
        ``handle_datagram``."""


PeerHandler = Callable[[HostId, Message], Message | None | Awaitable[Message | None]]


class PeerMessenger(ABC):
    """Typed messages to and from the other hosts.

    A handler is registered for each message type. What it returns is the reply to a
    ``call``; the reply to a ``send`` is dropped. A handler may be a coroutine.
    """

    @abstractmethod
    def register(self, message_type: type[Message], handler: PeerHandler) -> None: ...

    @abstractmethod
    def send(self, host_id: HostId, message: Message) -> None:
        """Send without an acknowledgement; the message may be lost."""

    @abstractmethod
    async def call(
        self, host_id: HostId, message: Message, timeout_s: float
    ) -> Message | Unreachable: ...


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A value of the store and the index that compare-and-swap names."""

    value: bytes
    index: int


@dataclass(frozen=True, slots=True)
class StoreKeyMissing:
    """The key has no value; ``index`` lets a watch wait for one."""

    index: int


class Store(ABC):
    """The platform's key-value service."""

    @abstractmethod
    async def get(
        self, key: str, wait_index: int = 0, wait_s: float = 0.0
    ) -> StoreEntry | StoreKeyMissing | StoreUnavailable:
        """Read ``key``; with ``wait_index``, wait for a change past that index."""

    @abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> StoreEntry | Conflict | StoreUnavailable:
        """Write ``key`` if its index is still ``index`` (0: if it has no value)."""


class Metrics(ABC):
    """Counters, gauges and timings."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None: ...

    @abstractmethod
    def gauge(self, name: str, value: float) -> None: ...

    @abstractmethod
    def timing_ms(self, name: str, value_ms: float) -> None: ...


RandomSource = random.Random
