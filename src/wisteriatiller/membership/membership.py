"""The interface of host membership and of the values that hosts gossip."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wisteriatiller.ids import Address, HostId, ZoneId

GossipListener = Callable[[str, int, object], None]


class HostState(Enum):
    """The state of a host in the failure detector; all but DEAD count as live."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """The local view of one host."""

    host_id: HostId
    zone: ZoneId
    state: HostState
    address: Address
    incarnation: int


class Membership(ABC):
    """The local view of all hosts, and the gossiped key-value pairs."""

    @abstractmethod
    def live_hosts(self, zone: ZoneId) -> tuple[HostId, ...]:
        """Return the live hosts of a zone that are not leaving, including this host."""

    @abstractmethod
    def is_live(self, host_id: HostId) -> bool:
        """Return whether the host is not held dead; a leaving host is still live."""

    @abstractmethod
    def address_of(self, host_id: HostId) -> Address | None: ...

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts, including leaving and dead hosts and this host."""
        return ()

    @abstractmethod
    def publish(self, key: str, version: int, value: object) -> None:
        """Gossip a value to all hosts, where it replaces any lower version."""

    @abstractmethod
    def gossiped_value(self, key: str) -> tuple[int, object] | None:
        """Return the newest known version and value of a key, or None."""

    @abstractmethod
    def subscribe(self, prefix: str, listener: GossipListener) -> None:
        """Call ``listener(key, version, value)`` for each update under ``prefix``."""
