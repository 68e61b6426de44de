"""Upstreams, listings of them and deltas between listings."""

from enum import Enum
from typing import NamedTuple, NewType

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from wisteriatiller.ids import (
    NO_EPOCH,
    Address,
    Revision,
    ServiceId,
    StoreEpoch,
    StorePosition,
    UpstreamId,
    ZoneId,
)

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


class Listing(NamedTuple):
    """All upstreams, as read from the pages of the store.

    Each page has its own revision, all in one epoch; ``page_revisions`` begins with the
    oldest one. ``unreadable`` holds the ids of entries that exist but cannot be parsed.
    """

    page_revisions: tuple[Revision, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]
    epoch: StoreEpoch = NO_EPOCH

    @property
    def position(self) -> StorePosition:
        """The position of the oldest page, up to which the listing is complete."""
        return StorePosition(self.epoch, self.page_revisions[0])

    @property
    def newest_position(self) -> StorePosition:
        return StorePosition(self.epoch, self.page_revisions[-1])

    @property
    def version(self) -> ListingVersion:
        identity = repr((self.epoch, self.page_revisions))
        return ListingVersion(xxh3_64_intdigest(identity.encode()))


class ListingDelta(NamedTuple):
    """The changes from the listing of version ``base`` to a newer one.

    Without a base, it is a whole listing. ``removed`` holds the ids of entries that the
    newer listing lacks.
    """

    base: ListingVersion | None
    page_revisions: tuple[Revision, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]
    removed: frozenset[UpstreamId]
    epoch: StoreEpoch = NO_EPOCH

    def apply_to(self, listing: Listing | None) -> Listing | None:
        """The newer listing; None if ``listing`` is not the base."""
        if self.base is None:
            return Listing(
                self.page_revisions, self.upstreams, self.unreadable, self.epoch
            )
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
        return Listing(
            self.page_revisions, (*kept, *self.upstreams), unreadable, self.epoch
        )


def upstream_tag(upstream_id: UpstreamId) -> Tag:
    """The tag of an upstream; two tags collide with a probability of 2**-32."""
    return Tag(xxh32_intdigest(upstream_id.encode()) or 1)
