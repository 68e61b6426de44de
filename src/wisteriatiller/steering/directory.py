"""The directory of upstreams: the latest listing and the presence of each entry."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import (
    NO_POSITION,
    ServiceId,
    StorePosition,
    UpstreamId,
    ZoneId,
)

from .upstreams import (
    NO_LISTING,
    Listing,
    ListingDelta,
    ListingVersion,
    OutdatedPages,
    Tag,
    Upstream,
    UpstreamState,
    upstream_tag,
)

# Entries that expired during a store outage are registered again within two seconds of
# its end. The rest covers the listing interval and the time until a listing arrives.
REREGISTRATION_GRACE_S = 2.3
# The loss of a single upstream is an ordinary crash.
MIN_DOUBTED_LOSS = 2
# No flow lives longer, so no packet can name an upstream that left before that.
GONE_RETENTION_S = 75.0
# Hosts ask for a delta at short intervals, so their listings are only a few versions
# old. Beyond this many versions the whole listing is sent.
MAX_DELTA_BASES = 64


class Presence(Enum):
    LISTED = "listed"
    # The entry is missing after a store outage and may be registered again.
    UNCERTAIN = "uncertain"
    UNREADABLE = "unreadable"
    GONE = "gone"


class UpstreamChange(NamedTuple):
    """The new state of an upstream that a listing changed."""

    upstream: Upstream
    presence: Presence


class AppliedListing(NamedTuple):
    """What a listing changed, and what of it was left out as outdated."""

    changes: list[UpstreamChange]
    outdated: OutdatedPages | None = None


class DirectoryEntry:
    """An upstream and its presence, which it has had since ``presence_since_s``.

    ``changed_generation`` is the directory generation of the entry's last change.
    ``is_withdrawn`` says that the upstream had begun to leave before the store was
    restored to a copy in which it is ready. ``has_left`` says that it drained, and that
    a healthy store then removed its entry; an entry that is missing for another reason
    tells nothing about its upstream. ``evacuation_ended_at_s`` is when the last
    evacuation of its zone ended while it was known; None if there was none, or while
    one lasts.
    """

    __slots__ = (
        "changed_generation",
        "evacuation_ended_at_s",
        "has_left",
        "is_withdrawn",
        "presence",
        "presence_since_s",
        "tag",
        "upstream",
    )

    def __init__(self, upstream: Upstream, now_s: float, changed_generation: int):
        self.changed_generation = changed_generation
        self.upstream = upstream
        self.tag = upstream_tag(upstream.upstream_id)
        self.presence = Presence.LISTED
        self.presence_since_s = now_s
        self.is_withdrawn = False
        self.has_left = False
        self.evacuation_ended_at_s: float | None = None

    def takes_new_flows(self) -> bool:
        is_present = self.presence in (Presence.LISTED, Presence.UNCERTAIN)
        is_ready = self.upstream.state is UpstreamState.READY
        return is_present and is_ready and not self.is_withdrawn


class UpstreamDirectory:
    """Merges listings, so that the newest is known of each entry, and indexes them.

    Reads may be stale, also in single pages. A page that is older than what is known of
    its ids is left out: it would bring back a drained upstream or remove a new one.
    """

    def __init__(self):
        self.position = NO_POSITION
        self.last_read_at_s: float | None = None
        # Up to when the listing is known to hold all changes; reads may be stale.
        self.confirmed_at_s: float | None = None
        self.listing: Listing | None = None
        self.version = NO_LISTING
        self._entries: dict[UpstreamId, DirectoryEntry] = {}
        self._by_tag: dict[Tag, DirectoryEntry] = {}
        self._by_service: dict[ServiceId, list[DirectoryEntry]] = {}
        self.evacuated_zones: frozenset[ZoneId] = frozenset()
        # Services of which an evacuation keeps new flows from some upstream.
        self._evacuated_services: set[ServiceId] = set()
        self._store_healthy_since_s: float | None = None
        # Each applied listing is a generation, kept by listing version. A delta can be
        # computed from a base whose generation is known and not older than the last
        # change of any entry that has been forgotten since.
        self._generation = 0
        self._generations: OrderedDict[ListingVersion, int] = OrderedDict()
        self._forgotten_generation = 0

    def apply(
        self,
        listing: Listing,
        now_s: float,
        store_healthy_s: float | None = 0.0,
        age_s: float = 0.0,
        confirmed_age_s: float | None = None,
    ) -> AppliedListing:
        """Merge a listing with what is known of each entry.

        ``store_healthy_s`` is how long the reader of the listing has read the store
        without a failure, or None if this host has lost the store. ``age_s`` is how
        long ago the listing was read, and ``confirmed_age_s`` since when it may lack
        changes; None if that is not known.
        """
        known = self.listing
        outdated = None if known is None else listing.outdated_by(known)
        if listing.epoch < self.position.epoch:
            return AppliedListing([], outdated)
        # The merged listing holds all that this one does, also if it changes nothing.
        self.last_read_at_s = _latest(self.last_read_at_s, now_s - age_s)
        if confirmed_age_s is not None:
            self.confirmed_at_s = _latest(self.confirmed_at_s, now_s - confirmed_age_s)
        merged = listing.merged_with(known)
        if merged is known and listing is not known:
            return AppliedListing([], outdated)
        if listing.epoch > self.position.epoch:
            self._begin_epoch()
            # The reader may have counted in the former epoch.
            store_healthy_s = None if store_healthy_s is None else 0.0
        if self._loses_all_upstreams(merged):
            self.mark_store_lost()
            store_healthy_s = None if store_healthy_s is None else 0.0
        if store_healthy_s is not None:
            self._extend_healthy_period(now_s - store_healthy_s)
        if merged is not known:
            self.listing = merged
            self.position = merged.position
            self.version = merged.version
        self._advance_generation(self.version)
        changes = [self._update_entry(upstream, now_s) for upstream in merged.upstreams]
        changes += self._mark_missing(merged, now_s)
        changes = [change for change in changes if change is not None]
        if self._forget_gone(now_s) or changes:
            self._rebuild_indexes()
        return AppliedListing(changes, outdated)

    def confirm(
        self,
        now_s: float,
        store_healthy_s: float | None,
        age_s: float,
        confirmed_age_s: float | None = None,
    ) -> AppliedListing:
        """Apply the current listing again, after which missing entries may be gone."""
        return self.apply(self.listing, now_s, store_healthy_s, age_s, confirmed_age_s)

    @property
    def newest_position(self) -> StorePosition:
        """The position after which the listing shows nothing."""
        return NO_POSITION if self.listing is None else self.listing.newest_position

    def includes(self, version: ListingVersion, newest: StorePosition) -> bool:
        """Whether the listing proves all that another one does.

        Listings of the same oldest page may differ in their other pages. So they are
        told by their versions, or the oldest page of one by the newest of the other.
        """
        is_same_epoch = newest.epoch == self.position.epoch
        return version == self.version or (is_same_epoch and newest <= self.position)

    def delta_since(self, version: ListingVersion) -> ListingDelta:
        """The delta from the listing of a version; without a base if it is unknown."""
        listing = self.listing
        generation = self._generations.get(version, -1)
        if generation < self._forgotten_generation:
            return ListingDelta(
                None,
                listing.pages,
                listing.upstreams,
                listing.unreadable,
                frozenset(),
                listing.epoch,
            )
        changed = [
            entry
            for entry in self._entries.values()
            if entry.changed_generation > generation
        ]
        listed = (entry for entry in changed if entry.presence is Presence.LISTED)
        return ListingDelta(
            base=version,
            pages=listing.pages,
            upstreams=tuple(entry.upstream for entry in listed),
            unreadable=_ids_by_presence(changed, Presence.UNREADABLE),
            removed=_ids_by_presence(changed, Presence.UNCERTAIN, Presence.GONE),
            epoch=listing.epoch,
        )

    def mark_store_lost(self) -> None:
        """End the healthy period: entries may now expire although upstreams serve."""
        self._store_healthy_since_s = None

    def store_healthy_s(self, now_s: float) -> float:
        """How long the store has been read without a failure; 0 after one."""
        return (
            0.0
            if self._store_healthy_since_s is None
            else now_s - self._store_healthy_since_s
        )

    def age_s(self, now_s: float) -> float | None:
        """How long ago the listing was last read; None if there is none."""
        return None if self.last_read_at_s is None else now_s - self.last_read_at_s

    def confirmed_age_s(self, now_s: float) -> float | None:
        """How long ago the listing was known to be the newest; None if never."""
        return None if self.confirmed_at_s is None else now_s - self.confirmed_at_s

    def get(self, upstream_id: UpstreamId) -> DirectoryEntry | None:
        return self._entries.get(upstream_id)

    def by_tag(self, tag: Tag) -> DirectoryEntry | None:
        return self._by_tag.get(tag)

    def eligible_entries(self, service: ServiceId) -> list[DirectoryEntry]:
        """The entries of the service that may take new flows."""
        return self._by_service.get(service, [])

    def set_evacuated_zones(self, zones: frozenset[ZoneId], now_s: float) -> None:
        """Keep new flows from these zones from now on, and from no others."""
        ended = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for entry in self._entries.values():
            if entry.upstream.zone in ended:
                entry.evacuation_ended_at_s = now_s
            elif entry.upstream.zone in zones:
                entry.evacuation_ended_at_s = None
        self._rebuild_indexes()

    def is_evacuated(self, entry: DirectoryEntry) -> bool:
        return entry.upstream.zone in self.evacuated_zones

    def has_evacuated_upstreams(self, service: ServiceId) -> bool:
        """Whether an evacuation keeps new flows of the service from any upstream."""
        return service in self._evacuated_services

    def entries(self) -> Iterable[DirectoryEntry]:
        return self._entries.values()

    def _loses_all_upstreams(self, listing: Listing) -> bool:
        """Whether a listing has none of several upstreams of a service, some in use.

        Entries expire one by one and upstreams drain before they leave, so that it is
        more likely a fault of the listing. It is doubted as after a store outage.
        """
        in_use = self._by_service.keys() | self._evacuated_services
        lost = in_use - {upstream.service for upstream in listing.upstreams}
        if not lost:
            return False
        counts = Counter(
            entry.upstream.service
            for entry in self._entries.values()
            if entry.presence is Presence.LISTED
        )
        return any(counts[service] >= MIN_DOUBTED_LOSS for service in lost)

    def _begin_epoch(self) -> None:
        """Doubt what is missing: it may have been written after the store's copy.

        Upstreams register again, but one that was cut off from the store may not.
        """
        self.mark_store_lost()
        for entry in self._entries.values():
            entry.has_left = False

    def _extend_healthy_period(self, since_s: float) -> None:
        if self._store_healthy_since_s is None or since_s < self._store_healthy_since_s:
            self._store_healthy_since_s = since_s

    def _update_entry(self, upstream: Upstream, now_s: float) -> UpstreamChange | None:
        entry = self._entries.get(upstream.upstream_id)
        if entry is None:
            entry = DirectoryEntry(upstream, now_s, self._generation)
            self._entries[upstream.upstream_id] = entry
            return UpstreamChange(upstream, Presence.LISTED)
        is_withdrawn = self._is_withdrawn(entry, upstream, now_s)
        is_known = entry.upstream == upstream and entry.presence is Presence.LISTED
        if is_known and entry.is_withdrawn == is_withdrawn:
            return None
        entry.upstream = upstream
        entry.is_withdrawn = is_withdrawn
        return self._set_presence(entry, Presence.LISTED, now_s)

    def _is_withdrawn(
        self, entry: DirectoryEntry, upstream: Upstream, now_s: float
    ) -> bool:
        """Whether a listing takes back that an upstream leaves.

        An upstream does not return from draining in the same lifetime, but the store
        does if it is restored. What was known counts until the upstream has had the
        time to write its state again.
        """
        was_leaving = (
            entry.is_withdrawn or entry.upstream.state is UpstreamState.DRAINING
        )
        is_same_lifetime = entry.upstream.started_ms == upstream.started_ms
        is_settling = self.store_healthy_s(now_s) < REREGISTRATION_GRACE_S
        is_ready = upstream.state is UpstreamState.READY
        return was_leaving and is_same_lifetime and is_ready and is_settling

    def _mark_missing(
        self, listing: Listing, now_s: float
    ) -> list[UpstreamChange | None]:
        listed = {upstream.upstream_id for upstream in listing.upstreams}
        return [
            self._mark_entry_missing(entry, upstream_id in listing.unreadable, now_s)
            for upstream_id, entry in self._entries.items()
            if upstream_id not in listed and entry.presence is not Presence.GONE
        ]

    def _mark_entry_missing(
        self, entry: DirectoryEntry, is_unreadable: bool, now_s: float
    ) -> UpstreamChange | None:
        if is_unreadable:
            presence = Presence.UNREADABLE
        elif self.store_healthy_s(now_s) < REREGISTRATION_GRACE_S:
            presence = Presence.UNCERTAIN
        else:
            presence = Presence.GONE
        if entry.presence is presence:
            return None
        return self._set_presence(entry, presence, now_s)

    def _set_presence(
        self, entry: DirectoryEntry, presence: Presence, now_s: float
    ) -> UpstreamChange:
        is_removed = presence is Presence.GONE and entry.presence is Presence.LISTED
        is_draining = entry.upstream.state is UpstreamState.DRAINING
        entry.has_left = is_removed and is_draining
        entry.presence = presence
        entry.presence_since_s = now_s
        entry.changed_generation = self._generation
        return UpstreamChange(entry.upstream, presence)

    def _advance_generation(self, version: ListingVersion) -> None:
        self._generation += 1
        self._generations[version] = self._generation
        self._generations.move_to_end(version)
        if len(self._generations) > MAX_DELTA_BASES:
            self._generations.popitem(last=False)

    def _forget_gone(self, now_s: float) -> bool:
        old = [
            upstream_id
            for upstream_id, entry in self._entries.items()
            if entry.presence is Presence.GONE
            and now_s - entry.presence_since_s > GONE_RETENTION_S
        ]
        for upstream_id in old:
            entry = self._entries.pop(upstream_id)
            self._forgotten_generation = max(
                self._forgotten_generation, entry.changed_generation
            )
        return bool(old)

    def _rebuild_indexes(self) -> None:
        self._by_tag = {}
        self._by_service = {}
        self._evacuated_services = set()
        for _, entry in sorted(self._entries.items()):
            owner = self._by_tag.setdefault(entry.tag, entry)
            # Packets of flows with a colliding tag would go to the tag's owner, so that
            # another upstream with that tag gets no new flows.
            if not entry.takes_new_flows() or owner is not entry:
                continue
            service = entry.upstream.service
            if self.is_evacuated(entry):
                self._evacuated_services.add(service)
            else:
                self._by_service.setdefault(service, []).append(entry)


def _latest(known_at_s: float | None, at_s: float) -> float:
    return at_s if known_at_s is None else max(known_at_s, at_s)


def _ids_by_presence(
    entries: Iterable[DirectoryEntry], *presences: Presence
) -> frozenset[UpstreamId]:
    return frozenset(
        entry.upstream.upstream_id for entry in entries if entry.presence in presences
    )
