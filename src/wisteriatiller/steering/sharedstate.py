"""Holds the state that hosts share and builds snapshots and requests from it."""

from typing import NamedTuple

from wisteriatiller.ids import Address

from .directory import UpstreamDirectory
from .evacuation import EvacuationView
from .evidence import HostReport, ZoneFindings
from .peers import Peer, PeerRegistry
from .routes import ConfigView, RouteConfig
from .settings import SteeringSettings
from .snapshotrequests import SnapshotRequest
from .snapshots import Snapshot
from .upstreams import ListingDelta, ListingVersion

# An older listing shows that the host which reads it has lost the store.
MAX_FRESH_LISTING_AGE_S = 1.3
# The listing of a host with a reader gets this old in normal operation.
MAX_RECENT_LISTING_AGE_S = 2.0
# Time to receive and apply an answer of the store.
CONFIG_APPLY_SLACK_S = 0.2
# All hosts of a zone fetch a new configuration at once, over the link of their reader.
# A larger one would fill that link, so each host reads it from the store.
MAX_SHARED_ROUTES = 400


class StateAges(NamedTuple):
    """The ages of the parts of a host's state; None for a part that it lacks.

    ``listing_s`` is the time since any read of the listing, ``confirmed_listing_s`` the
    time since it was known to hold all changes.
    """

    config_s: float | None
    listing_s: float | None
    confirmed_listing_s: float | None
    evacuations_s: float | None


class SharedState:
    """The configuration, the evacuations, the directory and the known hosts."""

    def __init__(
        self,
        settings: SteeringSettings,
        view: ConfigView,
        directory: UpstreamDirectory,
        registry: PeerRegistry,
    ):
        self._settings = settings
        self._has_evacuations = settings.has_evacuations
        self.view = view
        self.directory = directory
        self.registry = registry
        self.evacuations = EvacuationView()
        # Deltas to the listing ``_deltas_target``, by base version. They are cached
        # because many hosts ask for the same one at once.
        self._deltas: dict[ListingVersion, ListingDelta] = {}
        self._deltas_target = directory.version

    def is_complete(self) -> bool:
        """Whether this host has all state that it needs, of any age."""
        has_config = self.view.config is not None
        has_evacuations = self.evacuations.is_known or not self._has_evacuations
        return has_config and has_evacuations and self.directory.listing is not None

    def is_recent(self, now_s: float) -> bool:
        """Whether this host's state is as recent as reading or sharing keeps it."""
        return self.are_recent(self._ages(now_s))

    def are_recent(self, ages: StateAges) -> bool:
        """Whether the ages are those of a host that reads the store or has a reader.

        Older state comes from a host that was partitioned or suspended.
        """
        return self._are_within(
            ages, self._settings.watched_bound_s, MAX_RECENT_LISTING_AGE_S
        )

    def build_request(
        self, wants_peers: bool, wants_large_config: bool, report: HostReport = ()
    ) -> SnapshotRequest:
        return SnapshotRequest(
            address=self.registry.own.address,
            zone=self.registry.own.zone,
            config_version=self.view.version,
            directory_position=self.directory.position,
            listing_version=self.directory.version,
            wants_peers=wants_peers,
            wants_large_config=wants_large_config,
            report=report,
        )

    def build_findings_request(self, wants_peers: bool) -> SnapshotRequest:
        """Return a request to a reader of another zone for its findings alone."""
        request = self.build_request(wants_peers, wants_large_config=False)
        return request._replace(wants_only_findings=True)

    def build_snapshot(
        self,
        request: SnapshotRequest,
        is_reading: bool,
        has_lost_store: bool,
        reader: Address | None,
        findings: ZoneFindings,
        now_s: float,
    ) -> Snapshot:
        """The state that is newer than the request's; also registers its sender.

        Only a host that reads the store is fresh. In a chain of readers every hop would
        add its polling interval to the time until a drain is seen. Configuration and
        listing come over separate connections, so both have to be recent.
        """
        self.registry.add(Peer(request.address, request.zone), now_s)
        view, directory = self.view, self.directory
        ages = self._ages(now_s)
        has_newer_listing = not _includes_listing(request, directory)
        return Snapshot(
            config_version=view.version,
            config=None if request.wants_only_findings else self._config_for(request),
            config_age_s=ages.config_s,
            listing_version=directory.version,
            newest_position=directory.newest_position,
            listing_delta=(
                self._delta_since(request.listing_version)
                if has_newer_listing and not request.wants_only_findings
                else None
            ),
            listing_age_s=ages.listing_s,
            listing_confirmed_age_s=ages.confirmed_listing_s,
            store_healthy_s=directory.store_healthy_s(now_s),
            is_fresh=is_reading and self._are_fresh(ages),
            has_lost_store=has_lost_store,
            reader=reader,
            peers=self._all_peers() if request.wants_peers else (),
            findings=findings,
            evacuations=(
                self.evacuations.state(now_s)
                if self._has_evacuations and not request.wants_only_findings
                else None
            ),
        )

    def _ages(self, now_s: float) -> StateAges:
        return StateAges(
            self.view.age_s(now_s),
            self.directory.age_s(now_s),
            self.directory.confirmed_age_s(now_s),
            self.evacuations.age_s(now_s),
        )

    def _are_fresh(self, ages: StateAges) -> bool:
        watch_s = self._settings.watch_wait_s + self._settings.watch_slack_s
        return self._are_within(
            ages, watch_s + CONFIG_APPLY_SLACK_S, MAX_FRESH_LISTING_AGE_S
        )

    def _are_within(
        self, ages: StateAges, watched_limit_s: float, read_limit_s: float
    ) -> bool:
        """Whether what the watch returns and the listing are as recent as that.

        A listing beyond its deadline is never recent, whenever it was last read.
        """
        is_watched = _is_within(ages.config_s, watched_limit_s) and (
            not self._has_evacuations or _is_within(ages.evacuations_s, watched_limit_s)
        )
        return (
            is_watched
            and _is_within(ages.listing_s, read_limit_s)
            and _is_within(ages.confirmed_listing_s, self._settings.listing_deadline_s)
        )

    def _delta_since(self, version: ListingVersion) -> ListingDelta:
        if self._deltas_target != self.directory.version:
            self._deltas.clear()
            self._deltas_target = self.directory.version
        delta = self._deltas.get(version)
        if delta is None:
            delta = self._deltas[version] = self.directory.delta_since(version)
        return delta

    def _config_for(self, request: SnapshotRequest) -> RouteConfig | None:
        config = self.view.config
        if config is None or config.version <= request.config_version:
            return None
        is_small = len(config.routes) <= MAX_SHARED_ROUTES
        return config if is_small or request.wants_large_config else None

    def _all_peers(self) -> tuple[Peer, ...]:
        return (self.registry.own, *self.registry.known())


def _includes_listing(request: SnapshotRequest, directory: UpstreamDirectory) -> bool:
    """Whether the sender of a request knows all that the directory's listing proves."""
    is_complete = request.directory_position >= directory.newest_position
    return is_complete or request.listing_version == directory.version


def _is_within(age_s: float | None, limit_s: float) -> bool:
    return age_s is not None and age_s <= limit_s
