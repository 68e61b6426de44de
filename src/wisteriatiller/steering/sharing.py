"""Shares reads of the store among the hosts of a zone.

The first host of a zone in the order of addresses is its reader: it reads the store,
and the others fetch snapshots from it a few times a second and make no store calls. A
host that finds no earlier host with a fresh snapshot reads the store itself at once, so
that no host depends on another. While the store does not answer, a host asks any other
host for newer state.
"""

import random
from collections.abc import Callable
from enum import Enum

from wisteriatiller.ids import Address
from wisteriatiller.network.loop import Scheduler

from .configwatcher import ConfigWatcher
from .directorypoller import DirectoryPoller
from .evacuationupdates import EvacuationUpdater
from .evidence import NO_FINDINGS, HostReport, ZoneEvidence
from .peers import Peer, SnapshotClient
from .settings import SteeringSettings
from .sharedstate import SharedState, StateAges
from .snapshotapplier import SnapshotApplier
from .snapshotrequests import SnapshotRequest
from .snapshots import Snapshot
from .storepolling import StateObserver
from .zoneexchange import ZoneExchange

# How long a starting host waits for peers before it reads the store. A live seed
# answers sooner, even on a small and busy machine.
STARTUP_WAIT_S = 0.1
# Replaces the sharing interval until the host has a configuration and a listing.
STARTUP_SHARE_INTERVAL_S = 0.2
# How many hosts may decline one after the other before a host reads the store itself.
MAX_READERS_TRIED = 3
# How long a peer's answer that it has lost the store counts. Covers the backoff until
# that peer is asked again.
STORE_LOST_S = 2.0
# How often a host asks for known peers, and a reader makes itself known to some host.
PEER_EXCHANGE_INTERVAL_S = 3.0


class Source(Enum):
    STORE = "store"
    PEER = "peer"


class ReadSharing:
    """Decides whether this host reads the store or follows a reader."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        client: SnapshotClient,
        state: SharedState,
        evidence: ZoneEvidence,
        pollers: tuple[ConfigWatcher, DirectoryPoller],
        evacuations: EvacuationUpdater,
        observer: StateObserver,
        on_source_changed: Callable[[Source, str], None],
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._client = client
        self._state = state
        self._registry = state.registry
        self._evidence = evidence
        evidence.known_hosts = state.registry.known_hosts
        self._zone_exchange = ZoneExchange(scheduler, client, state, evidence)
        self._config_watcher, self._directory_poller = pollers
        self._evacuations = evacuations
        self._directory_poller.on_listing_read = self._resume_config_watch
        self._applier = SnapshotApplier(
            settings, scheduler, state, self._config_watcher, evacuations, observer
        )
        self._on_source_changed = on_source_changed
        self.source = Source.STORE
        self._reader: Peer | None = None
        self._is_request_pending = False
        # Whether this host waits for its first state from a peer.
        self._is_starting = False
        self._asked_at_startup: set[Address] = set()
        self._peers_exchanged_at_s = float("-inf")
        self._requested_at_s = 0.0
        # Why each host asked in this interval cannot be the reader, for the log.
        self._decline_reasons: list[str] = []
        # A host that has a newer configuration, as its request has shown.
        self._peer_ahead: Peer | None = None
        # Until when this host assumes that the hosts before it have lost the store.
        self._store_lost_until_s = float("-inf")

    def start(self) -> None:
        """Get the first state from a peer, or from the store if no peer has it.

        Restarts are frequent, and peers have all state, so that a restart needs no
        store call. Seeds read the store at once, since all other hosts ask them.
        """
        self._is_starting = self._registry.own.address not in self._settings.seeds
        if self._is_starting:
            self._scheduler.call_later(STARTUP_WAIT_S, self._end_startup_wait)
        self._ask_at_startup()

    def build_snapshot(self, request: SnapshotRequest) -> Snapshot:
        """Answer a host that asks for newer state, and aggregate its report."""
        reads_itself = self.source is Source.STORE
        has_lost_store = reads_itself and self._has_lost_store()
        is_reading = reads_itself and not has_lost_store
        now_s = self._scheduler.now_s()
        reader = None if self._reader is None else self._reader.address
        if request.config_version > self._state.view.version:
            self._peer_ahead = Peer(request.address, request.zone)
        self._evidence.add_report(request.address, request.report, now_s)
        # While the store is lost, the first host of the zone sums up for the others. A
        # host that applies its findings knows only stray reports.
        aggregates = is_reading or (
            reads_itself
            and self._settings.uses_zone_findings
            and not self._evidence.is_following(now_s)
        )
        findings = self._evidence.update_findings(now_s) if aggregates else NO_FINDINGS
        if aggregates and request.zone == self._registry.own.zone:
            findings = self._evidence.findings_for(request.address, now_s)
        return self._state.build_snapshot(
            request, is_reading, has_lost_store, reader, findings, now_s
        )

    def _has_lost_store(self) -> bool:
        return (
            self._config_watcher.has_lost_store()
            or self._directory_poller.has_lost_store()
        )

    def _ask_at_startup(self) -> None:
        """Ask known hosts in random order until one is recent or the wait has ended."""
        available_peers = [
            peer
            for peer in self._registry.available_peers(self._scheduler.now_s())
            if peer.address not in self._asked_at_startup
        ]
        if self._is_starting and available_peers:
            peer = random.choice(available_peers)
            self._asked_at_startup.add(peer.address)
            self._request_snapshot(peer, self._handle_startup_snapshot)
            return
        self._end_startup_wait()
        self._share_at_interval()

    def _handle_startup_snapshot(self, peer: Peer, snapshot: Snapshot | None) -> None:
        if snapshot is not None and self._is_recent(snapshot):
            self._is_starting = False
            self._handle_peer_snapshot(peer, snapshot)
            self._share_at_interval()
            return
        if snapshot is not None:
            self._applier.add_peers(snapshot)
        self._ask_at_startup()

    def _is_recent(self, snapshot: Snapshot) -> bool:
        """Whether a snapshot is complete and recent enough to begin to serve."""
        has_all = snapshot.config is not None and snapshot.listing_delta is not None
        evacuations = snapshot.evacuations
        ages = StateAges(
            snapshot.config_age_s,
            snapshot.listing_age_s,
            snapshot.listing_confirmed_age_s,
            None if evacuations is None else evacuations.age_s,
        )
        return has_all and self._state.are_recent(ages)

    def _end_startup_wait(self) -> None:
        """Read the store, unless a peer has given all state."""
        if self._is_starting or not self._state.is_complete():
            self._is_starting = False
            self._read_store("no peer has sent a recent snapshot")

    def _share_at_interval(self) -> None:
        interval_s = self._settings.share_interval_s
        if not self._state.is_complete():
            interval_s = STARTUP_SHARE_INTERVAL_S
        self._scheduler.call_later(interval_s, self._share_at_interval)
        self._evacuations.expire_retained()
        if not self._is_request_pending:
            self._decline_reasons.clear()
            self._ask_reader_or_store()

    def _ask_reader_or_store(self) -> None:
        """Ask the preferred reader, or read the store if there is none."""
        now_s = self._scheduler.now_s()
        reader = self._registry.preferred_reader(now_s)
        if reader is not None and len(self._decline_reasons) < MAX_READERS_TRIED:
            self._request_snapshot(reader, self._handle_reader_snapshot)
            return
        self._read_store(
            "; ".join(self._decline_reasons)
            or "no available peer comes before this host"
        )
        peer = self._choose_peer(now_s)
        if peer is not None:
            self._request_snapshot(peer, self._handle_peer_snapshot)

    def _choose_peer(self, now_s: float) -> Peer | None:
        """A host that a reader asks beside the store; None if it need not ask any.

        A restored store may hold an older configuration than other hosts.
        """
        peer_ahead, self._peer_ahead = self._peer_ahead, None
        if peer_ahead is not None:
            return peer_ahead
        needs_snapshot = self._has_lost_store() or self._state.directory.listing is None
        is_due = now_s - self._peers_exchanged_at_s >= PEER_EXCHANGE_INTERVAL_S
        available_peers = self._registry.available_peers(now_s)
        if available_peers and (needs_snapshot or is_due):
            return random.choice(available_peers)
        return None

    def _request_snapshot(
        self, peer: Peer, handle: Callable[[Peer, Snapshot | None], None]
    ) -> None:
        now_s = self._scheduler.now_s()
        wants_peers = now_s - self._peers_exchanged_at_s >= PEER_EXCHANGE_INTERVAL_S
        self._is_request_pending = True
        self._requested_at_s = now_s

        def finish(snapshot: Snapshot | None) -> None:
            self._is_request_pending = False
            if wants_peers and snapshot is not None:
                self._peers_exchanged_at_s = now_s
            handle(peer, snapshot)

        request = self._state.build_request(
            wants_peers, self._wants_large_config(), self._report_for(peer, now_s)
        )
        self._client.fetch(peer.address, request, finish)

    def _report_for(self, peer: Peer, now_s: float) -> HostReport:
        """What this host reports to a peer: everything to its reader, else nothing.

        Without a reader it still reports to the first host of its zone, which goes on
        to aggregate while the store is lost.
        """
        is_first = (
            self._settings.uses_zone_findings
            and not self._decline_reasons
            and peer == self._registry.preferred_reader(now_s)
        )
        is_reporting = peer == self._reader or is_first
        return self._evidence.take_report(now_s) if is_reporting else ()

    def _wants_large_config(self) -> bool:
        """Whether this host cannot read the newest configuration from the store."""
        pollers = (self._config_watcher, self._directory_poller)
        is_failing = any(poller.is_failing() for poller in pollers)
        is_missing = self._config_watcher.is_named_version_missing()
        return is_failing or is_missing or self._state.view.config is None

    def _handle_reader_snapshot(self, peer: Peer, snapshot: Snapshot | None) -> None:
        now_s = self._scheduler.now_s()
        if snapshot is None or not snapshot.is_fresh:
            self._registry.back_off(
                peer.address, now_s, is_unreachable=snapshot is None
            )
            self._decline_reasons.append(f"{peer.address} {_decline_reason(snapshot)}")
            if snapshot is not None:
                self._learn_from_decline(snapshot)
                self._apply_findings_of_decline(snapshot, now_s)
                self._apply_peer_state(peer, snapshot)
            self._ask_reader_or_store()
            return
        self._registry.add(peer, now_s)
        self._reader = peer
        self._evidence.apply_findings(snapshot.findings, now_s)
        self._apply_snapshot(peer, snapshot, snapshot.store_healthy_s)
        if self.source is Source.STORE:
            self.source = Source.PEER
            self._config_watcher.pause()
            self._directory_poller.pause()
            self._on_source_changed(self.source, f"follows {peer.address}")

    def _apply_findings_of_decline(self, snapshot: Snapshot, now_s: float) -> None:
        """Apply what the first host of the zone finds, though it reads no store."""
        is_first = len(self._decline_reasons) == 1
        has_findings = is_first and snapshot.findings != NO_FINDINGS
        if has_findings and self._settings.uses_zone_findings:
            self._evidence.apply_findings(snapshot.findings, now_s)

    def _learn_from_decline(self, snapshot: Snapshot) -> None:
        """Learn the reader of a host that declined, or that the host lost the store."""
        now_s = self._scheduler.now_s()
        if snapshot.reader is not None:
            reader = Peer(snapshot.reader, self._registry.own.zone)
            self._registry.mark_available(reader, now_s)
        if snapshot.has_lost_store:
            self._store_lost_until_s = now_s + STORE_LOST_S
            # Entries may now expire because of the outage.
            self._state.directory.mark_store_lost()

    def _handle_peer_snapshot(self, peer: Peer, snapshot: Snapshot | None) -> None:
        now_s = self._scheduler.now_s()
        if snapshot is None:
            # A starting host may know no other peer, so it does not back off.
            if self._state.is_complete():
                self._registry.back_off(peer.address, now_s, is_unreachable=True)
            return
        self._registry.add(peer, now_s)
        self._apply_peer_state(peer, snapshot)

    def _apply_peer_state(self, peer: Peer, snapshot: Snapshot) -> None:
        """Apply what is newer in a snapshot of a host that is not the reader."""
        now_s = self._scheduler.now_s()
        # What cuts a host off from the store may cut off upstreams near it too, so that
        # their entries expire although they serve.
        has_lost_store = self._has_lost_store() or snapshot.has_lost_store
        store_healthy_s = (
            None if has_lost_store else self._state.directory.store_healthy_s(now_s)
        )
        self._apply_snapshot(peer, snapshot, store_healthy_s)

    def _read_store(self, reason: str) -> None:
        """Read the store, and only its listing while other hosts have lost it.

        The configuration has a connection of its own, so it is read whether or not the
        listing can be.
        """
        self._reader = None
        now_s = self._scheduler.now_s()
        # A reader that no host asks still has to evaluate what it sees itself.
        self._evidence.update_findings(now_s)
        if self._settings.uses_zone_findings:
            self._zone_exchange.ask_other_zones()
        uses_long_backoff = now_s < self._store_lost_until_s
        self._directory_poller.resume(uses_long_backoff)
        if not uses_long_backoff:
            self._config_watcher.resume()
        elif self._directory_poller.is_failing():
            self._config_watcher.pause()
        if self.source is Source.PEER:
            self.source = Source.STORE
            self._on_source_changed(self.source, reason)

    def _resume_config_watch(self) -> None:
        if self.source is Source.STORE:
            self._config_watcher.resume()

    def _apply_snapshot(
        self, peer: Peer, snapshot: Snapshot, store_healthy_s: float | None
    ) -> None:
        self._applier.apply(peer, snapshot, store_healthy_s, self._requested_at_s)


def _decline_reason(snapshot: Snapshot | None) -> str:
    if snapshot is None:
        return "did not answer"
    if snapshot.has_lost_store:
        return "has lost the store"
    if snapshot.reader is not None:
        return f"follows {snapshot.reader}"
    config_age_s, listing_age_s = snapshot.config_age_s, snapshot.listing_age_s
    return f"is not fresh: {config_age_s=} {listing_age_s=}"
