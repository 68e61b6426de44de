"""Upstreams as the platform lists them."""

from enum import Enum
from typing import NamedTuple, NewType

from xxhash import xxh32_intdigest

from wisteriatiller.ids import Address, Revision, ServiceId, UpstreamId, ZoneId

# Names an upstream in the packets of its flows. Every host computes the same one.
Tag = NewType("Tag", int)

NO_TAG = Tag(0)


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
    """All upstreams at one revision of the store.

    ``unreadable`` names entries that are there but cannot be understood.
    """

    revision: Revision
    upstreams: tuple[Upstream, ...]
    unreadable: frozenset[UpstreamId]


def upstream_tag(upstream_id: UpstreamId) -> Tag:
    """The tag of an upstream; two upstreams share one with a chance of 2**-32."""
    return Tag(xxh32_intdigest(upstream_id.encode()) or 1)
