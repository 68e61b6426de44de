"""Which hosts are live, and the small values that hosts gossip."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wisteriatiller.ids import Address, HostId, ZoneId

GossipListener = Callable[[str, int, object], None]


class HostState(Enum):
    """What is known about a host. Only a DEAD host does not count as live."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A host as this host sees it."""

    host_id: HostId
    zone: ZoneId
    state: HostState
    address: Address
    incarnation: int


class Membership(ABC):
    """The hosts of the system as this host sees them."""

    @abstractmethod
    def live_hosts(self, zone: ZoneId) -> tuple[HostId, ...]:
        """Live hosts of the zone that are not leaving, this one included."""

    @abstractmethod
    def is_live(self, host_id: HostId) -> bool:
        """Whether the host answers probes; a leaving host still counts."""

    @abstractmethod
    def address_of(self, host_id: HostId) -> Address | None: ...

    def members(self) -> tuple[Member, ...]:
        """Every known host, also leaving and dead ones, this one included."""
        return ()

    @abstractmethod
    def publish(self, key: str, version: int, value: object) -> None:
        """Gossip a value; a higher version replaces a lower one on every host."""

    @abstractmethod
    def gossiped_value(self, key: str) -> tuple[int, object] | None:
        """The version and value known for the key."""

    @abstractmethod
    def subscribe(self, prefix: str, listener: GossipListener) -> None:
        """Call ``listener(key, version, value)`` for each newer value under prefix."""
