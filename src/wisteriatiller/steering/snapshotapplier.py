"""Applies the snapshots of other hosts to the state of this one."""

from wisteriatiller.network.loop import Scheduler

from .configwatcher import ConfigWatcher
from .evacuationupdates import EvacuationUpdater
from .peers import Peer
from .settings import SteeringSettings
from .sharedstate import SharedState
from .snapshots import Snapshot
from .storepolling import StateObserver

# Older state in a snapshot is ignored, since it is too old to act on.
MAX_SNAPSHOT_AGE_S = 30.0


class SnapshotApplier:
    """Takes over what is newer in a snapshot, with its age at this host."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        state: SharedState,
        config_watcher: ConfigWatcher,
        evacuations: EvacuationUpdater,
        observer: StateObserver,
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._state = state
        self._config_watcher = config_watcher
        self._evacuations = evacuations
        self._observer = observer

    def apply(
        self,
        peer: Peer,
        snapshot: Snapshot,
        store_healthy_s: float | None,
        requested_at_s: float,
    ) -> None:
        """Apply what is newer in the answer to a request.

        ``store_healthy_s`` is as for ``UpstreamDirectory.apply``.
        """
        self.add_peers(snapshot)
        self._apply_evacuations(peer, snapshot, requested_at_s)
        self._apply_config(peer, snapshot, requested_at_s)
        self._apply_listing(peer, snapshot, store_healthy_s, requested_at_s)

    def add_peers(self, snapshot: Snapshot) -> None:
        """Add the hosts that another host names."""
        self._state.registry.add_all(
            (Peer(address, zone) for address, zone in snapshot.peers),
            self._scheduler.now_s(),
        )

    def _apply_evacuations(
        self, peer: Peer, snapshot: Snapshot, requested_at_s: float
    ) -> None:
        """Apply evacuations of any age, since their position says what is newer."""
        if snapshot.evacuations is not None and self._settings.has_evacuations:
            self._evacuations.apply_state(
                snapshot.evacuations, peer.address, requested_at_s
            )

    def _apply_config(
        self, peer: Peer, snapshot: Snapshot, requested_at_s: float
    ) -> None:
        view = self._state.view
        age_s = snapshot.config_age_s
        if age_s is None or age_s > MAX_SNAPSHOT_AGE_S:
            return
        unconfirmed_s = view.age_s(self._scheduler.now_s())
        if snapshot.config is not None and view.apply(snapshot.config):
            self._observer.config_applied(view, f"peer {peer.address}", unconfirmed_s)
        elif snapshot.config_version > view.version:
            self._config_watcher.read_once(snapshot.config_version, peer.address)
        # The age was true when the peer answered, at the earliest at the request.
        confirmed_at_s = requested_at_s - age_s
        is_newer = confirmed_at_s > (view.confirmed_at_s or float("-inf"))
        if view.version == snapshot.config_version and is_newer:
            view.confirm(confirmed_at_s)

    def _apply_listing(
        self,
        peer: Peer,
        snapshot: Snapshot,
        store_healthy_s: float | None,
        requested_at_s: float,
    ) -> None:
        directory = self._state.directory
        age_s = snapshot.listing_age_s
        if age_s is None or age_s > MAX_SNAPSHOT_AGE_S:
            return
        now_s = self._scheduler.now_s()
        # The ages were true when the peer answered, at the earliest at the request.
        waited_s = now_s - requested_at_s
        age_s += waited_s
        confirmed_age_s = snapshot.listing_confirmed_age_s
        if confirmed_age_s is not None:
            confirmed_age_s += waited_s
        ages = now_s, store_healthy_s, age_s, confirmed_age_s
        if snapshot.listing_delta is None:
            is_included = directory.includes(
                snapshot.listing_version, snapshot.newest_position
            )
            applied = directory.confirm(*ages) if is_included else None
        else:
            listing = snapshot.listing_delta.apply_to(directory.listing)
            applied = None if listing is None else directory.apply(listing, *ages)
        if applied is not None:
            self._observer.listing_applied(applied, f"peer {peer.address}")
