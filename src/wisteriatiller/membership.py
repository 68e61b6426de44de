"""Which hosts are live, and the small values that hosts gossip."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .ids import Address, HostId, ZoneId
from .settings import HostSettings

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
    def value(self, key: str) -> tuple[int, object] | None:
        """The version and value known for the key."""

    @abstractmethod
    def subscribe(self, prefix: str, listener: GossipListener) -> None:
        """Call ``listener(key, version, value)`` for each newer value under prefix."""


class StaticMembership(Membership):
    """Every seed counts as live; values stay on this host."""

    def __init__(self, settings: HostSettings):
        self._hosts = {seed.host_id: seed for seed in settings.seeds}
        self._values: dict[str, tuple[int, object]] = {}
        self._listeners: list[tuple[str, GossipListener]] = []

    def live_hosts(self, zone):
        return tuple(h for h, seed in self._hosts.items() if seed.zone == zone)

    def is_live(self, host_id):
        return host_id in self._hosts

    def zone_reachable(self, zone):
        return True

    def address_of(self, host_id):
        seed = self._hosts.get(host_id)
        return seed.address if seed else None

    def members(self):
        return tuple(
            Member(seed.host_id, seed.zone, HostState.ALIVE, seed.address, 1)
            for seed in self._hosts.values()
        )

    def publish(self, key, version, value):
        if key in self._values and self._values[key][0] >= version:
            return
        self._values[key] = (version, value)
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, version, value)

    def value(self, key):
        return self._values.get(key)

    def subscribe(self, prefix, listener):
        self._listeners.append((prefix, listener))
