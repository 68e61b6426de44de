"""Asks the readers of other zones for what the hosts of their zones have found out."""

from wisteriatiller.ids import ZoneId
from wisteriatiller.network.loop import Scheduler

from .evidence import NO_FINDINGS, ZoneEvidence
from .peers import Peer, SnapshotClient
from .sharedstate import SharedState
from .snapshots import Snapshot

# How often a reader asks another zone for the hosts that it knows. Hosts that start at
# the same time know few others of their zone, and another zone may know the first.
PEERS_INTERVAL_S = 3.0


class ZoneExchange:
    """Fetches the findings of each other zone, one request at a time for each."""

    def __init__(
        self,
        scheduler: Scheduler,
        client: SnapshotClient,
        state: SharedState,
        evidence: ZoneEvidence,
    ):
        self._scheduler = scheduler
        self._client = client
        self._state = state
        self._evidence = evidence
        self._clients: dict[ZoneId, SnapshotClient] = {}
        self._pending: set[ZoneId] = set()
        # The reader of each zone, as a host that follows it has told.
        self._readers: dict[ZoneId, Peer] = {}
        self._peers_asked_at_s: dict[ZoneId, float] = {}

    def ask_other_zones(self) -> None:
        """Ask one host of each other zone, unless an answer is still awaited."""
        now_s = self._scheduler.now_s()
        for first in self._state.registry.first_of_other_zones(now_s):
            if first.zone not in self._pending:
                self._ask(self._readers.pop(first.zone, first))

    def _ask(self, peer: Peer) -> None:
        now_s = self._scheduler.now_s()
        asked_at_s = self._peers_asked_at_s.get(peer.zone, float("-inf"))
        wants_peers = now_s - asked_at_s >= PEERS_INTERVAL_S
        if wants_peers:
            self._peers_asked_at_s[peer.zone] = now_s
        self._pending.add(peer.zone)
        self._client_for(peer.zone).fetch(
            peer.address,
            self._state.build_findings_request(wants_peers),
            lambda snapshot: self._handle_snapshot(peer, snapshot),
        )

    def _client_for(self, zone: ZoneId) -> SnapshotClient:
        client = self._clients.get(zone)
        if client is None:
            client = self._clients[zone] = self._client.separate()
        return client

    def _handle_snapshot(self, peer: Peer, snapshot: Snapshot | None) -> None:
        self._pending.discard(peer.zone)
        registry, now_s = self._state.registry, self._scheduler.now_s()
        if snapshot is None:
            registry.back_off(peer.address, now_s, is_unreachable=True)
            return
        registry.add(peer, now_s)
        known = (Peer(address, zone) for address, zone in snapshot.peers)
        registry.add_all(known, now_s)
        if snapshot.reader is not None:
            self._readers[peer.zone] = Peer(snapshot.reader, peer.zone)
            return
        self._readers[peer.zone] = peer
        if snapshot.findings == NO_FINDINGS:
            # The host does not sum up its zone. What is known of it expires by its age.
            return
        self._evidence.set_foreign_findings(peer.zone, snapshot.findings, now_s)
