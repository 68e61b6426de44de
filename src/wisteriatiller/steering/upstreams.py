"""Upstreams as the platform lists them."""

from enum import Enum
from typing import NamedTuple, NewType

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from wisteriatiller.ids import Address, Revision, ServiceId, UpstreamId, ZoneId

# Names an upstream in the packets of its flows. Every host computes the same one.
Tag = NewType("Tag", int)

# Names the content of a listing: two listings of one version are the same.
ListingVersion = NewType("ListingVersion", int)

NO_TAG = Tag(0)
NO_LISTING = ListingVersion(0)


class UpstreamState(Enum):
    READY = "ready"
    DRAINING = "draining"


class Upstream(NamedTuple):
    """One listed upstream.

    ``started_ms`` tells two lifetimes of one id apart, and ``cold_for_ms`` is how long
    the upstream goes on working slowly after its start.
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
    """All upstreams, as the store's pages showed them.

    Each page has a revision of its own; the first one is the oldest. ``unreadable``
    names entries that are there but cannot be understood.
    """

    page_revisions: tuple[Revision, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]

    @property
    def revision(self) -> Revision:
        return self.page_revisions[0]

    @property
    def newest_revision(self) -> Revision:
        return self.page_revisions[-1]

    @property
    def version(self) -> ListingVersion:
        return ListingVersion(xxh3_64_intdigest(repr(self.page_revisions).encode()))


class ListingDelta(NamedTuple):
    """What leads from the listing of version ``base`` to another one.

    Without a base, it is a whole listing. ``missing`` names entries that are no longer
    there.
    """

    base: ListingVersion | None
    page_revisions: tuple[Revision, ...]
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]
    removed: frozenset[UpstreamId]

    def apply_to(self, listing: Listing | None) -> Listing | None:
        """The other listing; None if ``listing`` is not the one of the base."""
        if self.base is None:
            return Listing(self.page_revisions, self.upstreams, self.unreadable)
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
        return Listing(self.page_revisions, (*kept, *self.upstreams), unreadable)


def upstream_tag(upstream_id: UpstreamId) -> Tag:
    """The tag of an upstream; two upstreams share one with a chance of 2**-32."""
    return Tag(xxh32_intdigest(upstream_id.encode()) or 1)
