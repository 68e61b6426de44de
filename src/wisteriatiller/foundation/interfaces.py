"""Interfaces to everything outside the program: network, store, clock and metrics.

Each interface is a small abstract base class. Real hosts use the implementations in
``transport.datagrams``, ``transport.tcpmessenger``, ``store.consul`` and
``foundation.metrics``; tests bring their own.
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
    """The clock of the running event loop, which tests can replace by virtual time."""

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()


class DatagramSocket(ABC):
    """A bound datagram socket.

    Received datagrams go to the handler that was given when the socket was opened.
    """

    @abstractmethod
    def send(self, data: bytes, address: Address) -> None: ...

    @abstractmethod
    def close(self) -> None: ...


# Called with the bytes and the sender's address of each received datagram.
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
    """Sends typed messages to other hosts and passes received ones to handlers.

    One handler is registered for each message type. Its return value is the reply to
    a ``call``; after a ``send`` the return value is dropped. A handler may be a
    coroutine function.
    """

    @abstractmethod
    def register(self, message_type: type[Message], handler: PeerHandler) -> None: ...

    @abstractmethod
    def send(self, host_id: HostId, message: Message) -> None:
        """Send a message without waiting for a reply; it may be lost."""

    @abstractmethod
    async def call(
        self, host_id: HostId, message: Message, timeout_s: float
    ) -> Message | Unreachable:
        """Send a message and return its reply, or ``Unreachable`` after the timeout."""


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A value in the store and its modification index, used by compare-and-swap."""

    value: bytes
    index: int


@dataclass(frozen=True, slots=True)
class StoreKeyMissing:
    """The key has no value; a watch can wait for one by passing ``index``."""

    index: int


class Store(ABC):
    """The client interface of the platform's key-value store."""

    @abstractmethod
    async def get(
        self, key: str, wait_index: int = 0, wait_s: float = 0.0
    ) -> StoreEntry | StoreKeyMissing | StoreUnavailable:
        """Read ``key``; with ``wait_index``, wait until its index exceeds that one."""

    @abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> StoreEntry | Conflict | StoreUnavailable:
        """Write ``key`` if its index is still ``index``.

        An index of 0 means that the key must have no value yet.
        """


class Metrics(ABC):
    """Records counters, gauges and timings."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None: ...

    @abstractmethod
    def gauge(self, name: str, value: float) -> None: ...

    @abstractmethod
    def timing_ms(self, name: str, value_ms: float) -> None: ...


RandomSource = random.Random
