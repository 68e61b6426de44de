"""The other hosts that a host knows, and what it asks them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wisteriatiller.ids import Address, ZoneId

from .snapshots import Snapshot, SnapshotRequest

# Hosts of the own zone share reads. Of each other zone a few are kept to ask for help,
# and the first ones, which its starting hosts look for.
MAX_ZONE_PEERS = 512
MAX_OTHER_PEERS = 8
FIRST_OTHER_PEERS = 4
# A host that did not answer is left alone for this long.
SILENT_AVOIDED_S = 3.0
# One that answers may read the store by the next time.
DECLINED_AVOIDED_S = 1.0
# A host that nobody has heard of for this long is forgotten.
FORGOTTEN_S = 60.0

UNKNOWN_ZONE = ZoneId("")


class Peer(NamedTuple):
    """A host by its control address."""

    address: Address
    zone: ZoneId


class PeerLink(ABC):
    """Fetches the snapshots of hosts."""

    @abstractmethod
    def ask(
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
        self._heard_at_s: dict[Peer, float] = {}
        self._avoided_until_s: dict[Address, float] = {}

    def add(self, peer: Peer, now_s: float) -> None:
        if peer.address == self.own.address:
            return
        if peer.zone != UNKNOWN_ZONE:
            self._heard_at_s.pop(Peer(peer.address, UNKNOWN_ZONE), None)
        elif any(known.address == peer.address for known in self._heard_at_s):
            return
        self._heard_at_s.pop(peer, None)
        self._heard_at_s[peer] = now_s
        self._limit(peer.zone)

    def add_all(self, peers: Iterable[Peer], now_s: float) -> None:
        """Note hosts that another host names; they may be gone already."""
        for peer in peers:
            if peer not in self._heard_at_s:
                self.add(peer, now_s)

    def avoid(self, address: Address, now_s: float, is_silent: bool) -> None:
        """Note that a host has nothing to give for the moment."""
        avoided_s = SILENT_AVOIDED_S if is_silent else DECLINED_AVOIDED_S
        self._avoided_until_s[address] = now_s + avoided_s

    def recommend(self, peer: Peer, now_s: float) -> None:
        """Note that another host gets from this one what it needs."""
        self.add_all((peer,), now_s)
        self._avoided_until_s.pop(peer.address, None)

    def known(self) -> tuple[Peer, ...]:
        return tuple(self._heard_at_s)

    def reader(self, now_s: float) -> Peer | None:
        """The first host of the own zone that may be asked; None if it is this one."""
        self._forget(now_s)
        zone_peers = (peer for peer in self._heard_at_s if peer.zone == self.own.zone)
        earlier = (
            peer
            for peer in zone_peers
            if peer.address < self.own.address and self._may_ask(peer.address, now_s)
        )
        return min(earlier, default=None)

    def helpers(self, now_s: float) -> list[Peer]:
        """All hosts that may be asked while the store is away."""
        return [peer for peer in self._heard_at_s if self._may_ask(peer.address, now_s)]

    def _may_ask(self, address: Address, now_s: float) -> bool:
        return self._avoided_until_s.get(address, 0.0) <= now_s

    def _forget(self, now_s: float) -> None:
        old = [
            peer
            for peer, heard_at_s in self._heard_at_s.items()
            if now_s - heard_at_s > FORGOTTEN_S and peer.zone != UNKNOWN_ZONE
        ]
        for peer in old:
            del self._heard_at_s[peer]

    def _limit(self, zone: ZoneId) -> None:
        """Leave out of a zone those that have not been heard of for longest."""
        peers = [peer for peer in self._heard_at_s if peer.zone == zone]
        limit = MAX_ZONE_PEERS if zone == self.own.zone else MAX_OTHER_PEERS
        excess = len(peers) - limit
        if excess <= 0:
            return
        first = sorted(peers)[:FIRST_OTHER_PEERS]
        for peer in [peer for peer in peers if peer not in first][:excess]:
            del self._heard_at_s[peer]
