"""The known hosts of the site, and which of them to ask for snapshots."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wisteriatiller.ids import Address, ZoneId

from .evidence import KnownHosts
from .snapshotrequests import SnapshotRequest
from .snapshots import Snapshot

# Hosts of the own zone share reads of the store. Of every other zone only a few are
# kept: some to ask during a store outage, and the first ones in reader order, which a
# starting host of that zone needs to learn.
MAX_ZONE_PEERS = 512
MAX_REMOTE_ZONE_PEERS = 8
FIRST_REMOTE_ZONE_PEERS = 4
# How long a host that did not answer is not asked again.
UNREACHABLE_BACKOFF_S = 3.0
# A host that answered but does not read the store may soon do so, so that it is asked
# again sooner.
DECLINED_BACKOFF_S = 1.0
# A host of which nothing has been heard for this long is forgotten.
PEER_EXPIRY_S = 60.0

UNKNOWN_ZONE = ZoneId("")


class Peer(NamedTuple):
    """A host, identified by its control address, and its zone."""

    address: Address
    zone: ZoneId


class SnapshotClient(ABC):
    """Fetches snapshots from other hosts."""

    @abstractmethod
    def fetch(
        self,
        peer: Address,
        request: SnapshotRequest,
        done: Callable[[Snapshot | None], None],
    ) -> None:
        """Call ``done`` with the snapshot, or with None if the host returns none.

        A client has one request pending at a time; a fetch from another host before
        its answer aborts it.
        """

    @abstractmethod
    def separate(self) -> "SnapshotClient":
        """Return a client whose requests are independent of those of this one."""


class PeerRegistry:
    """The known hosts, and those that are not to be asked for the moment.

    The reader order is the order of addresses, which every host computes alike. A zone
    therefore needs no leader election: the first host that answers with a fresh
    snapshot is the reader for the others.
    """

    def __init__(self, own: Peer):
        self.own = own
        self._last_seen_at_s: dict[Peer, float] = {}
        self._backoff_until_s: dict[Address, float] = {}

    def add(self, peer: Peer, now_s: float) -> None:
        """Record a host that has been heard from at ``now_s``."""
        if peer.address == self.own.address:
            return
        if peer.zone != UNKNOWN_ZONE:
            self._last_seen_at_s.pop(Peer(peer.address, UNKNOWN_ZONE), None)
        elif any(known.address == peer.address for known in self._last_seen_at_s):
            return
        self._last_seen_at_s.pop(peer, None)
        self._last_seen_at_s[peer] = now_s
        self._trim_zone(peer.zone)

    def add_all(self, peers: Iterable[Peer], now_s: float) -> None:
        """Add unknown hosts that another host names; they may be gone already."""
        for peer in peers:
            if peer not in self._last_seen_at_s:
                self.add(peer, now_s)

    def back_off(self, address: Address, now_s: float, is_unreachable: bool) -> None:
        """Do not ask a host again for a while, longer if it did not answer."""
        backoff_s = UNREACHABLE_BACKOFF_S if is_unreachable else DECLINED_BACKOFF_S
        self._backoff_until_s[address] = now_s + backoff_s

    def mark_available(self, peer: Peer, now_s: float) -> None:
        """End the backoff of a host that another host follows."""
        self.add_all((peer,), now_s)
        self._backoff_until_s.pop(peer.address, None)

    def known(self) -> tuple[Peer, ...]:
        """All known hosts, the least recently seen first."""
        return tuple(self._last_seen_at_s)

    def preferred_reader(self, now_s: float) -> Peer | None:
        """The first available host of the own zone; None if that is this host."""
        self._expire(now_s)
        zone_peers = (
            peer for peer in self._last_seen_at_s if peer.zone == self.own.zone
        )
        earlier = (
            peer
            for peer in zone_peers
            if peer.address < self.own.address
            and self._is_available(peer.address, now_s)
        )
        return min(earlier, default=None)

    def first_of_other_zones(self, now_s: float) -> list[Peer]:
        """The first available host of each other zone, which is likely its reader."""
        self._expire(now_s)
        first: dict[ZoneId, Peer] = {}
        for peer in self._last_seen_at_s:
            is_other = peer.zone not in (self.own.zone, UNKNOWN_ZONE)
            if is_other and self._is_available(peer.address, now_s):
                first[peer.zone] = min(peer, first.get(peer.zone, peer))
        return list(first.values())

    def known_hosts(self) -> KnownHosts:
        """How many hosts of the own zone are known, and of which other zones."""
        zones = [peer.zone for peer in self._last_seen_at_s]
        return KnownHosts(
            1 + zones.count(self.own.zone),
            frozenset(zones) - {self.own.zone, UNKNOWN_ZONE},
        )

    def available_peers(self, now_s: float) -> list[Peer]:
        """All hosts, of any zone, that may be asked for a snapshot."""
        return [
            peer
            for peer in self._last_seen_at_s
            if self._is_available(peer.address, now_s)
        ]

    def _is_available(self, address: Address, now_s: float) -> bool:
        return self._backoff_until_s.get(address, 0.0) <= now_s

    def _expire(self, now_s: float) -> None:
        old = [
            peer
            for peer, last_seen_at_s in self._last_seen_at_s.items()
            if now_s - last_seen_at_s > PEER_EXPIRY_S and peer.zone != UNKNOWN_ZONE
        ]
        for peer in old:
            del self._last_seen_at_s[peer]

    def _trim_zone(self, zone: ZoneId) -> None:
        """Remove the least recently seen hosts of a zone, but keep its first ones."""
        peers = [peer for peer in self._last_seen_at_s if peer.zone == zone]
        limit = MAX_ZONE_PEERS if zone == self.own.zone else MAX_REMOTE_ZONE_PEERS
        excess = len(peers) - limit
        if excess <= 0:
            return
        first = sorted(peers)[:FIRST_REMOTE_ZONE_PEERS]
        for peer in [peer for peer in peers if peer not in first][:excess]:
            del self._last_seen_at_s[peer]
