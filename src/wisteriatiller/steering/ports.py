"""Interfaces through which steering uses the platform that it runs on."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import Address, FlowKey, Revision, StorePosition

from .evacuation import EvacuationAnswer
from .packets import Packet
from .routes import RouteConfig
from .upstreams import Listing, Tag, Upstream


class StoreFailureReason(Enum):
    """Why a call failed: no response, an error status or a malformed response.

    ``MIXED_EPOCHS`` stands for pages of which some are from before a restore.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNREADABLE = "unreadable"
    MIXED_EPOCHS = "mixed_epochs"


class StoreFailure(NamedTuple):
    """A call to the store failed; ``detail`` is for logs."""

    reason: StoreFailureReason
    detail: str


class HistoryExpired(NamedTuple):
    """The store does not have the changes since the requested revision.

    ``position`` tells only the epoch.
    """

    position: StorePosition


class ConfigMissing(NamedTuple):
    """The store holds no configuration."""

    position: StorePosition
    evacuations: EvacuationAnswer | None = None


class ConfigInvalid(NamedTuple):
    """The configuration in the store cannot be decoded."""

    position: StorePosition
    detail: str
    evacuations: EvacuationAnswer | None = None


class ConfigRead(NamedTuple):
    """The configuration, read at a position of the store."""

    position: StorePosition
    config: RouteConfig
    evacuations: EvacuationAnswer | None = None


class ConfigUnchanged(NamedTuple):
    """The configuration has not changed up to this position."""

    position: StorePosition
    evacuations: EvacuationAnswer | None = None


ConfigAnswer = (
    ConfigRead
    | ConfigUnchanged
    | ConfigMissing
    | ConfigInvalid
    | HistoryExpired
    | StoreFailure
)


class StoreReader(ABC):
    """An asynchronous client of the store; calls each callback exactly once.

    Where zones can be evacuated, answers about the configuration also hold the
    evacuations: all of them in that of a read, their changes in that of a watch.
    """

    @abstractmethod
    def read_config(self, on_answer: Callable[[ConfigAnswer], None]) -> None:
        """Read the current configuration."""

    @abstractmethod
    def watch_config(
        self, after: Revision, wait_s: float, on_answer: Callable[[ConfigAnswer], None]
    ) -> None:
        """Long-poll for a change after a revision, for at most ``wait_s``."""

    @abstractmethod
    def list_upstreams(
        self, is_current: bool, on_answer: Callable[[Listing | StoreFailure], None]
    ) -> None:
        """List all upstreams; unless ``is_current``, each page may be stale."""

    @abstractmethod
    def set_address(self, address: Address) -> None:
        """Change the address of the store, from the next call on."""


class PacketCodec(ABC):
    """Decodes and encodes packets in the wire format of the platform."""

    @abstractmethod
    def decode(self, data: bytes) -> Packet | None:
        """Return the header of a client's packet; None if the data is malformed."""

    @abstractmethod
    def encode_for_upstream(self, data: bytes, upstream: Upstream, tag: Tag) -> bytes:
        """Return the datagram that forwards a client's packet to an upstream."""

    @abstractmethod
    def encode_reset(self, data: bytes) -> tuple[bytes, Address]:
        """Return the datagram that resets a client's flow, and its destination."""

    @abstractmethod
    def encode_flow_reset(self, flow: FlowKey, sequence: int) -> tuple[bytes, Address]:
        """Return the datagram that resets an open flow, and its destination.

        ``sequence`` is the client's last acknowledgement.
        """
