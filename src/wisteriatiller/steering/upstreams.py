"""Upstreams, listings of them and deltas between listings."""

from enum import Enum
from typing import NamedTuple, NewType

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from wisteriatiller.ids import (
    NO_EPOCH,
    Address,
    ServiceId,
    StoreEpoch,
    StorePosition,
    UpstreamId,
    ZoneId,
)

from .listingpages import ListingPage, PageIndex, merge_pages, overlaps

# Identifies an upstream in the packets of its flows. Every host computes the same tag.
Tag = NewType("Tag", int)

# Identifies the content of a listing: listings of the same version are equal.
ListingVersion = NewType("ListingVersion", int)

NO_TAG = Tag(0)
NO_LISTING = ListingVersion(0)


class UpstreamState(Enum):
    READY = "ready"
    DRAINING = "draining"


class Upstream(NamedTuple):
    """One listed upstream.

    ``started_ms`` distinguishes lifetimes of the same id, and ``cold_for_ms`` is how
    much longer the upstream is slow after its start.
    """

    upstream_id: UpstreamId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_for_ms: int
    started_ms: int


class OutdatedPages(NamedTuple):
    """What of a listing is older than what is known of the same ids.

    ``position`` is that of its oldest page of this kind, and ``known_position`` that of
    the newest page that is known of such ids. ``is_whole`` says that the listing holds
    nothing else.
    """

    position: StorePosition
    known_position: StorePosition
    is_whole: bool


class Listing(NamedTuple):
    """All upstreams, as read from the pages of the store.

    All pages are of one epoch, and each has a revision of its own, in any order; see
    ``listingpages``. ``unreadable`` holds the ids of entries that exist but cannot be
    parsed.
    """

    pages: tuple[ListingPage, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]
    epoch: StoreEpoch = NO_EPOCH

    @property
    def position(self) -> StorePosition:
        """The position of the oldest page, up to which the listing is complete."""
        return StorePosition(self.epoch, min(page.revision for page in self.pages))

    @property
    def newest_position(self) -> StorePosition:
        """The position of the newest page, after which the listing shows nothing."""
        return StorePosition(self.epoch, max(page.revision for page in self.pages))

    @property
    def version(self) -> ListingVersion:
        identity = repr((self.epoch, [tuple(page) for page in self.pages]))
        return ListingVersion(xxh3_64_intdigest(identity.encode()))

    def merged_with(self, known: "Listing | None") -> "Listing":
        """Return the newest that one of two listings proves of each id.

        It is ``known`` itself if this listing proves nothing beyond it.
        """
        if known is None or known.epoch < self.epoch:
            return self
        if known.epoch > self.epoch:
            return known
        pages = merge_pages(self.pages, known.pages)
        if pages == self.pages:
            return self
        if pages == known.pages:
            return known
        own_index, known_index = PageIndex(self.pages), PageIndex(known.pages)

        def is_own_newest(upstream_id: UpstreamId) -> bool:
            own_revision = own_index.revision_of(upstream_id)
            return own_revision >= known_index.revision_of(upstream_id)

        upstreams = [
            *(one for one in self.upstreams if is_own_newest(one.upstream_id)),
            *(one for one in known.upstreams if not is_own_newest(one.upstream_id)),
        ]
        unreadable = [
            *(name for name in self.unreadable if is_own_newest(name)),
            *(name for name in known.unreadable if not is_own_newest(name)),
        ]
        return Listing(pages, tuple(upstreams), frozenset(unreadable), self.epoch)

    def outdated_by(self, known: "Listing") -> OutdatedPages | None:
        """Return what of this listing is older than a known one; None if nothing is."""
        if self.epoch != known.epoch:
            is_outdated = self.epoch < known.epoch
            known_position = known.newest_position
            return (
                OutdatedPages(self.position, known_position, is_whole=True)
                if is_outdated
                else None
            )
        ranges = list(overlaps(self.pages, known.pages))
        outdated = [one for one in ranges if one.revision < one.other_revision]
        if not outdated:
            return None
        revision = min(one.revision for one in outdated)
        known_revision = max(one.other_revision for one in outdated)
        return OutdatedPages(
            StorePosition(self.epoch, revision),
            StorePosition(self.epoch, known_revision),
            is_whole=len(outdated) == len(ranges),
        )


class ListingDelta(NamedTuple):
    """The changes from the listing of version ``base`` to a newer one.

    Without a base, it is a whole listing. ``removed`` holds the ids of entries that the
    newer listing lacks.
    """

    base: ListingVersion | None
    pages: tuple[ListingPage, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]
    removed: frozenset[UpstreamId]
    epoch: StoreEpoch = NO_EPOCH

    def apply_to(self, listing: Listing | None) -> Listing | None:
        """The newer listing; None if ``listing`` is not the base."""
        if self.base is None:
            return Listing(self.pages, self.upstreams, self.unreadable, self.epoch)
        if listing is None or listing.version != self.base:
            return None
        changed = {upstream.upstream_id for upstream in self.upstreams}
        replaced = changed | self.unreadable | self.removed
        kept = [
            upstream
            for upstream in listing.upstreams
            if upstream.upstream_id not in replaced
        ]
        unreadable = (listing.unreadable - replaced) | self.unreadable
        return Listing(self.pages, (*kept, *self.upstreams), unreadable, self.epoch)


def upstream_tag(upstream_id: UpstreamId) -> Tag:
    """The tag of an upstream; two tags collide with a probability of 2**-32."""
    return Tag(xxh32_intdigest(upstream_id.encode()) or 1)
