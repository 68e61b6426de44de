"""Shares reads of the store among the hosts of a zone.

The first host of a zone reads the store; the others ask it a few times a second and
make no calls. A host that finds nobody before it with fresh state reads the store
itself at once, so that every host can stand alone. While the store does not answer, a
host asks any other for what is newer than its own.
"""

import random
from collections.abc import Callable
from enum import Enum

from wisteriatiller.ids import Address
from wisteriatiller.network.loop import Scheduler

from .followers import ConfigFollower, DirectoryFollower, FollowerObserver
from .peers import Peer, PeerLink
from .settings import SteeringSettings
from .sharedstate import SharedState
from .snapshots import Snapshot, SnapshotRequest
from .zoneevidence import ZoneEvidence

# A snapshot that is older says nothing that a host could still act on.
MAX_HELP_AGE_S = 30.0
# A seed that is alive answers sooner, even if it is weak and busy.
SEED_PATIENCE_S = 0.1
# A host without a listing asks the others more often than one that has an old one.
FIRST_SHARE_INTERVAL_S = 0.2
# Hosts that one host asks in turn, before it reads the store itself.
MAX_ASKED_IN_TURN = 3
# A host that has lost the store is asked again after a while; this covers the pause.
STORE_LOST_S = 2.0
# How often a reader makes itself known to some other host.
INTRODUCTION_INTERVAL_S = 3.0


class Source(Enum):
    STORE = "store"
    PEER = "peer"


class ReadSharing:
    """Decides where this host gets its beliefs from: the store, or a peer."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        link: PeerLink,
        state: SharedState,
        zone: ZoneEvidence,
        followers: tuple[ConfigFollower, DirectoryFollower],
        observer: FollowerObserver,
        changed_source: Callable[[Source, str], None],
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._link = link
        self._state = state
        self._registry = state.registry
        self._zone = zone
        self._config_follower, self._directory_follower = followers
        self._directory_follower.on_answer = self._store_answered
        self._observer = observer
        self._changed_source = changed_source
        self.source = Source.STORE
        self._reader: Peer | None = None
        self._is_asking = False
        # Whether this host waits for its first beliefs from a peer.
        self._is_starting = False
        self._asked_first: set[Address] = set()
        self._introduced_at_s = float("-inf")
        self._asked_at_s = 0.0
        # Why each host that was asked in this turn does not read for this one.
        self._declined: list[str] = []
        # Until when what the hosts before this one said of the lost store counts.
        self._lost_until_s = float("-inf")

    def start(self) -> None:
        """Get the first beliefs from a peer, or from the store if none has them.

        Hosts restart all day, and their peers know everything. The hosts that are
        named as seeds read at once, since all others ask them.
        """
        self._is_starting = self._registry.own.address not in self._settings.seeds
        if self._is_starting:
            self._scheduler.call_later(SEED_PATIENCE_S, self._stop_waiting)
        self._ask_first()

    def snapshot(self, request: SnapshotRequest) -> Snapshot:
        """The answer to a host that asks for what is newer than its own."""
        reads_itself = self.source is Source.STORE
        is_lost = reads_itself and self._is_store_lost()
        is_reading = reads_itself and not is_lost
        now_s = self._scheduler.now_s()
        follows = None if self._reader is None else self._reader.address
        self._zone.collect(request.address, request.report, now_s)
        shares = self._zone.judge(now_s) if is_reading else {}
        return self._state.snapshot(
            request, is_reading, is_lost, follows, shares, now_s
        )

    def _is_store_lost(self) -> bool:
        return self._config_follower.is_lost() or self._directory_follower.is_lost()

    def _ask_first(self) -> None:
        """Ask the hosts that this one knows in turn, while it may wait for them."""
        helpers = [
            peer
            for peer in self._registry.helpers(self._scheduler.now_s())
            if peer.address not in self._asked_first
        ]
        if self._is_starting and helpers:
            peer = random.choice(helpers)
            self._asked_first.add(peer.address)
            self._ask(peer, self._take_first)
            return
        self._stop_waiting()
        self._tick()

    def _take_first(self, peer: Peer, snapshot: Snapshot | None) -> None:
        if snapshot is not None and self._is_enough(snapshot):
            self._is_starting = False
            self._take_help(peer, snapshot)
            self._tick()
            return
        if snapshot is not None:
            self._learn_peers(snapshot)
        self._ask_first()

    def _is_enough(self, snapshot: Snapshot) -> bool:
        """Whether this host may begin to serve with what another one believes."""
        has_all = snapshot.config is not None and snapshot.listing is not None
        return has_all and self._state.are_followed(
            snapshot.config_age_s, snapshot.listing_age_s
        )

    def _stop_waiting(self) -> None:
        """Read the store, unless a peer has told what is in it."""
        if self._is_starting or not self._state.is_complete():
            self._is_starting = False
            self._read_store("no peer has given first beliefs")

    def _tick(self) -> None:
        interval_s = self._settings.share_interval_s
        if not self._state.is_complete():
            interval_s = FIRST_SHARE_INTERVAL_S
        self._scheduler.call_later(interval_s, self._tick)
        if not self._is_asking:
            self._declined.clear()
            self._follow_first()

    def _follow_first(self) -> None:
        """Ask the first host that may read for this one, or read oneself."""
        now_s = self._scheduler.now_s()
        reader = self._registry.reader(now_s)
        if reader is not None and len(self._declined) < MAX_ASKED_IN_TURN:
            self._ask(reader, self._take_from_reader)
            return
        self._read_store("; ".join(self._declined) or "no peer before this host")
        needs_help = self._is_store_lost() or self._state.directory.listing is None
        is_due = now_s - self._introduced_at_s >= INTRODUCTION_INTERVAL_S
        helpers = self._registry.helpers(now_s)
        if helpers and (needs_help or is_due):
            self._ask(random.choice(helpers), self._take_help)

    def _ask(self, peer: Peer, take: Callable[[Peer, Snapshot | None], None]) -> None:
        now_s = self._scheduler.now_s()
        wants_peers = now_s - self._introduced_at_s >= INTRODUCTION_INTERVAL_S
        self._is_asking = True
        self._asked_at_s = now_s

        def finish(snapshot: Snapshot | None) -> None:
            self._is_asking = False
            if wants_peers and snapshot is not None:
                self._introduced_at_s = now_s
            take(peer, snapshot)

        report = self._zone.report() if peer == self._reader else ()
        request = self._state.request(wants_peers, self._wants_large_config(), report)
        self._link.ask(peer.address, request, finish)

    def _wants_large_config(self) -> bool:
        """Whether this host has no configuration yet, or cannot read the store."""
        followers = (self._config_follower, self._directory_follower)
        is_failing = any(follower.is_failing() for follower in followers)
        return is_failing or self._state.view.config is None

    def _take_from_reader(self, peer: Peer, snapshot: Snapshot | None) -> None:
        now_s = self._scheduler.now_s()
        if snapshot is None or not snapshot.is_fresh:
            self._registry.avoid(peer.address, now_s, is_silent=snapshot is None)
            self._declined.append(f"{peer.address} {_why_declined(snapshot)}")
            if snapshot is not None:
                self._learn_why(snapshot)
            self._follow_first()
            return
        self._registry.add(peer, now_s)
        self._reader = peer
        self._zone.heard(snapshot.shares, now_s)
        self._learn(peer, snapshot, snapshot.steady_s)
        if self.source is Source.STORE:
            self.source = Source.PEER
            self._config_follower.pause()
            self._directory_follower.pause()
            self._changed_source(self.source, f"follows {peer.address}")

    def _learn_why(self, snapshot: Snapshot) -> None:
        """Learn from a host that does not read whom it follows, or what it lost."""
        now_s = self._scheduler.now_s()
        if snapshot.follows is not None:
            reader = Peer(snapshot.follows, self._registry.own.zone)
            self._registry.recommend(reader, now_s)
        if snapshot.has_lost_store:
            self._lost_until_s = now_s + STORE_LOST_S
            # Entries that lapse now may do so because of the store.
            self._state.directory.store_lost()

    def _take_help(self, peer: Peer, snapshot: Snapshot | None) -> None:
        now_s = self._scheduler.now_s()
        if snapshot is None:
            # A host that starts may know nobody else.
            if self._state.is_complete():
                self._registry.avoid(peer.address, now_s, is_silent=True)
            return
        self._registry.add(peer, now_s)
        # What keeps this host from the store may keep upstreams near it from it too,
        # so that their entries lapse although they serve.
        is_lost = self._is_store_lost()
        steady_s = None if is_lost else self._state.directory.steady_s(now_s)
        self._learn(peer, snapshot, steady_s)

    def _read_store(self, reason: str) -> None:
        """Read, with one kind of call only while the store may be away."""
        self._reader = None
        now_s = self._scheduler.now_s()
        # What this host has seen must not wait for a follower that asks.
        self._zone.judge(now_s)
        is_patient = now_s < self._lost_until_s
        self._directory_follower.resume(is_patient)
        if self._directory_follower.is_failing():
            self._config_follower.pause()
        elif not is_patient:
            self._config_follower.resume()
        if self.source is Source.PEER:
            self.source = Source.STORE
            self._changed_source(self.source, reason)

    def _store_answered(self) -> None:
        if self.source is Source.STORE:
            self._config_follower.resume()

    def _learn(self, peer: Peer, snapshot: Snapshot, steady_s: float | None) -> None:
        self._learn_peers(snapshot)
        self._learn_config(peer, snapshot)
        self._learn_listing(peer, snapshot, steady_s)

    def _learn_peers(self, snapshot: Snapshot) -> None:
        self._registry.add_all(
            (Peer(address, zone) for address, zone in snapshot.peers),
            self._scheduler.now_s(),
        )

    def _learn_config(self, peer: Peer, snapshot: Snapshot) -> None:
        view = self._state.view
        age_s = snapshot.config_age_s
        if age_s is None or age_s > MAX_HELP_AGE_S:
            return
        unconfirmed_s = view.age_s(self._scheduler.now_s())
        if snapshot.config is not None and view.apply(snapshot.config):
            self._observer.config_applied(view, f"peer {peer.address}", unconfirmed_s)
        elif snapshot.config_version > view.version:
            self._config_follower.fetch(snapshot.config_version, peer.address)
        # The age is of the moment when the peer answered, after it was asked.
        confirmed_at_s = self._asked_at_s - age_s
        is_newer = confirmed_at_s > (view.confirmed_at_s or float("-inf"))
        if view.version == snapshot.config_version and is_newer:
            view.confirm(confirmed_at_s)

    def _learn_listing(
        self, peer: Peer, snapshot: Snapshot, steady_s: float | None
    ) -> None:
        directory = self._state.directory
        age_s = snapshot.listing_age_s
        if age_s is None or age_s > MAX_HELP_AGE_S:
            return
        now_s = self._scheduler.now_s()
        # The age is of the moment when the peer answered, after it was asked.
        age_s += now_s - self._asked_at_s
        changes = None
        if snapshot.listing is not None:
            listing = snapshot.listing.apply_to(directory.listing)
            if listing is not None:
                changes = directory.apply(listing, now_s, steady_s, age_s)
        elif directory.revision == snapshot.directory_revision:
            changes = directory.confirm(now_s, steady_s, age_s)
        if changes:
            self._observer.directory_applied(changes, f"peer {peer.address}")


def _why_declined(snapshot: Snapshot | None) -> str:
    if snapshot is None:
        return "does not answer"
    if snapshot.has_lost_store:
        return "has lost the store"
    if snapshot.follows is not None:
        return f"follows {snapshot.follows}"
    config_age_s, listing_age_s = snapshot.config_age_s, snapshot.listing_age_s
    return f"is not fresh, {config_age_s=} {listing_age_s=}"
