"""Asks other hosts for a snapshot while the store does not answer this one."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import Address
from wisteriatiller.network.loop import Scheduler

from .directory import UpstreamDirectory
from .followers import FollowerObserver
from .routes import ConfigView
from .settings import SteeringSettings
from .snapshots import Snapshot

MAX_PEERS = 64
CHECK_INTERVAL_S = 0.5
# A snapshot that is older says nothing that a host could still act on.
MAX_SNAPSHOT_AGE_S = 30.0


class PeerLink(ABC):
    """Fetches the snapshot of one host."""

    @abstractmethod
    def ask(self, peer: Address, done: Callable[[Snapshot | None], None]) -> None:
        """Call back with the snapshot, or with None if the host gives none."""


class PeerSync:
    """Knows other hosts by their control addresses and asks them in turn.

    A host asks once at its start, so that its peers learn of it, and then whenever
    ``needs_help`` says that the store is out of reach.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        link: PeerLink,
        view: ConfigView,
        directory: UpstreamDirectory,
        observer: FollowerObserver,
        needs_help: Callable[[], bool],
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._link = link
        self._view = view
        self._directory = directory
        self._observer = observer
        self._needs_help = needs_help
        self._peers: dict[Address, None] = {}
        self._has_introduced = False
        self._is_asking = False
        self.add_peers(settings.seeds)

    @property
    def peers(self) -> tuple[Address, ...]:
        return tuple(self._peers)

    def add_peers(self, peers: tuple[Address, ...]) -> None:
        """Note hosts, the newest last; the oldest make room for them."""
        for peer in peers:
            if peer != self._settings.control_listen:
                self._peers.pop(peer, None)
                self._peers[peer] = None
        while len(self._peers) > MAX_PEERS:
            del self._peers[next(iter(self._peers))]

    def start(self) -> None:
        self._check()

    def _check(self) -> None:
        self._scheduler.call_later(CHECK_INTERVAL_S, self._check)
        is_due = self._needs_help() or not self._has_introduced
        if self._peers and is_due and not self._is_asking:
            self._ask(random.choice(self.peers))

    def _ask(self, peer: Address) -> None:
        self._is_asking = True
        self._link.ask(peer, lambda snapshot: self._take(peer, snapshot))

    def _take(self, peer: Address, snapshot: Snapshot | None) -> None:
        self._is_asking = False
        if snapshot is None:
            return
        self._has_introduced = True
        self.add_peers(snapshot.peers)
        now_s = self._scheduler.now_s()
        source = f"peer {peer}"
        self._take_config(snapshot, source, now_s)
        self._take_listing(snapshot, source, now_s)

    def _take_config(self, snapshot: Snapshot, source: str, now_s: float) -> None:
        if snapshot.config is None or snapshot.config_age_s > MAX_SNAPSHOT_AGE_S:
            return
        if snapshot.config.version < self._view.version:
            return
        confirmed_at_s = now_s - snapshot.config_age_s
        if confirmed_at_s > (self._view.confirmed_at_s or float("-inf")):
            self._view.confirm(confirmed_at_s)
        if self._view.apply(snapshot.config):
            self._observer.config_applied(self._view, source)

    def _take_listing(self, snapshot: Snapshot, source: str, now_s: float) -> None:
        if snapshot.listing is None or snapshot.listing_age_s > MAX_SNAPSHOT_AGE_S:
            return
        changes = self._directory.apply(
            snapshot.listing, now_s, snapshot.steady_s, snapshot.listing_age_s
        )
        if changes:
            self._observer.directory_applied(changes, source)
