"""The other hosts that a host knows, and what it asks them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wisteriatiller.ids import Address, ZoneId

from .snapshots import Snapshot, SnapshotRequest

# Hosts of the own zone share reads. Of each other zone a few are kept to ask for help,
# and the first ones, which its starting hosts look for.
MAX_ZONE_PEERS = 512
MAX_REMOTE_ZONE_PEERS = 8
FIRST_REMOTE_ZONE_PEERS = 4
# A host that did not answer is left alone for this long.
UNREACHABLE_BACKOFF_S = 3.0
# One that answers may read the store by the next time.
DECLINED_BACKOFF_S = 1.0
# A host that nobody has heard of for this long is forgotten.
PEER_EXPIRY_S = 60.0

UNKNOWN_ZONE = ZoneId("")


class Peer(NamedTuple):
    """A host by its control address."""

    address: Address
    zone: ZoneId


class SnapshotClient(ABC):
    """Fetches the snapshots of hosts."""

    @abstractmethod
    def fetch(
        self,
        peer: Address,
        request: SnapshotRequest,
        done: Callable[[Snapshot | None], None],
    ) -> None:
        """Call back with the snapshot, or with None if the host gives none."""


class PeerRegistry:
    """Hosts in the order in which they read the store for their zone.

    Each host computes the same order from the addresses alone, so a zone needs no
    election: the first host that answers with fresh state reads for the others.
    """

    def __init__(self, own: Peer):
        self.own = own
        self._last_seen_at_s: dict[Peer, float] = {}
        self._backoff_until_s: dict[Address, float] = {}

    def add(self, peer: Peer, now_s: float) -> None:
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
        """Note hosts that another host names; they may be gone already."""
        for peer in peers:
            if peer not in self._last_seen_at_s:
                self.add(peer, now_s)

    def back_off(self, address: Address, now_s: float, is_unreachable: bool) -> None:
        """Note that a host has nothing to give for the moment."""
        backoff_s = UNREACHABLE_BACKOFF_S if is_unreachable else DECLINED_BACKOFF_S
        self._backoff_until_s[address] = now_s + backoff_s

    def mark_available(self, peer: Peer, now_s: float) -> None:
        """Note that another host gets from this one what it needs."""
        self.add_all((peer,), now_s)
        self._backoff_until_s.pop(peer.address, None)

    def known(self) -> tuple[Peer, ...]:
        return tuple(self._last_seen_at_s)

    def preferred_reader(self, now_s: float) -> Peer | None:
        """The first host of the own zone that may be asked; None if it is this one."""
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

    def available_peers(self, now_s: float) -> list[Peer]:
        """All hosts that may be asked while the store is away."""
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
        """Leave out of a zone those that have not been heard of for longest."""
        peers = [peer for peer in self._last_seen_at_s if peer.zone == zone]
        limit = MAX_ZONE_PEERS if zone == self.own.zone else MAX_REMOTE_ZONE_PEERS
        excess = len(peers) - limit
        if excess <= 0:
            return
        first = sorted(peers)[:FIRST_REMOTE_ZONE_PEERS]
        for peer in [peer for peer in peers if peer not in first][:excess]:
            del self._last_seen_at_s[peer]
