"""Ports of the flow path: what steering needs from the platform it runs on."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import Address, Revision

from .packets import Packet
from .routes import RouteConfig
from .upstreams import Listing, Tag, Upstream


class StoreFailureReason(Enum):
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNREADABLE = "unreadable"


class StoreFailure(NamedTuple):
    """The store gave no usable answer."""

    reason: StoreFailureReason
    detail: str


class HistoryExpired(NamedTuple):
    """The store no longer has the changes that were asked for."""


class ConfigMissing(NamedTuple):
    """The store has no configuration yet."""

    revision: Revision


class ConfigInvalid(NamedTuple):
    """The store has a configuration that cannot be read."""

    revision: Revision
    detail: str


class ConfigRead(NamedTuple):
    """The configuration at a revision of the store."""

    revision: Revision
    config: RouteConfig


class ConfigUnchanged(NamedTuple):
    """Nothing has changed up to this revision."""

    revision: Revision


ConfigAnswer = (
    ConfigRead
    | ConfigUnchanged
    | ConfigMissing
    | ConfigInvalid
    | HistoryExpired
    | StoreFailure
)


class StoreReader(ABC):
    """Reads the store; each call is answered once, through its callback."""

    @abstractmethod
    def read_config(self, done: Callable[[ConfigAnswer], None]) -> None:
        """Read the newest configuration."""

    @abstractmethod
    def watch_config(
        self, after: Revision, wait_s: float, done: Callable[[ConfigAnswer], None]
    ) -> None:
        """Wait for a change after a revision, for ``wait_s`` at most."""

    @abstractmethod
    def list_upstreams(
        self, is_current: bool, done: Callable[[Listing | StoreFailure], None]
    ) -> None:
        """Read all upstreams; unless ``is_current``, as they were seconds ago."""

    @abstractmethod
    def set_address(self, address: Address) -> None:
        """Use another address from the next call on."""


class PacketCodec(ABC):
    """Reads and writes the packets of the platform."""

    @abstractmethod
    def decode(self, data: bytes) -> Packet | None:
        """The header of a client's packet; None if it is no packet."""

    @abstractmethod
    def encode_for_upstream(self, data: bytes, upstream: Upstream, tag: Tag) -> bytes:
        """The datagram that hands a packet to an upstream."""

    @abstractmethod
    def encode_reset(self, data: bytes) -> tuple[bytes, Address]:
        """The datagram that resets the client's flow, and where to send it."""
