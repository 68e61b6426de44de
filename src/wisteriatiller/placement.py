"""Placement of flows on upstreams and of shards on hosts by rendezvous hashing.

Every host computes the same home for a flow, from the configuration alone::

    table = PlacementTable((("stock-1", 1.0), ("stock-2", 1.0)))
    table.home(flow_key)
"""

import math
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest, xxh64_intdigest

from wisteriatiller.ids import FlowKey, HostId, ShardId, UpstreamId, ZoneId

_HASH_RANGE = float(1 << 64)


class PlacementTable:
    """The weighted upstreams of a service that may take new flows."""

    def __init__(self, weights: Iterable[tuple[UpstreamId, float]]):
        self.weights = tuple(weights)
        self._hashed_upstreams = [
            (xxh3_64_intdigest(upstream_id.encode()), upstream_id, weight)
            for upstream_id, weight in self.weights
            if weight > 0
        ]
        self._equal_weights = (
            len({weight for _, _, weight in self._hashed_upstreams}) <= 1
        )

    def __eq__(self, other) -> bool:
        return isinstance(other, PlacementTable) and self.weights == other.weights

    def __hash__(self) -> int:
        return hash(self.weights)

    def __bool__(self) -> bool:
        return bool(self._hashed_upstreams)

    def home(self, flow_key: FlowKey) -> UpstreamId | None:
        """The upstream with the highest score for the flow; None if there is none."""
        if not self._hashed_upstreams:
            return None
        if self._equal_weights:
            return max(
                self._hashed_upstreams,
                key=lambda entry: xxh3_64_intdigest(flow_key, entry[0]),
            )[1]
        return max(
            self._hashed_upstreams,
            key=lambda entry: _score(flow_key, entry[0], entry[2]),
        )[1]

    def ranked(self, flow_key: FlowKey) -> list[UpstreamId]:
        """The upstreams by descending score for the flow; the first is its home."""
        if self._equal_weights:
            key = lambda entry: xxh3_64_intdigest(flow_key, entry[0])  # noqa: E731
        else:
            key = lambda entry: _score(flow_key, entry[0], entry[2])  # noqa: E731
        return [
            entry[1] for entry in sorted(self._hashed_upstreams, key=key, reverse=True)
        ]


def _score(flow_key: bytes, seed: int, weight: float) -> float:
    # With the score -w/ln(u), each upstream gets a share of the flows equal to its
    # share of the weights, and a changed weight moves as few flows as possible.
    uniform = (xxh3_64_intdigest(flow_key, seed) + 1) / (_HASH_RANGE + 2)
    return -weight / math.log(uniform)


def host_score(key: str, host_id: HostId) -> tuple[int, HostId]:
    """The sort key of a host in ``rank_hosts``."""
    return xxh64_intdigest(f"{key}|{host_id}".encode()), host_id


def rank_hosts(key: str, host_ids: Iterable[HostId]) -> list[HostId]:
    """Rank hosts for ``key`` by rendezvous hashing, highest score first."""
    return sorted(host_ids, key=lambda host_id: host_score(key, host_id), reverse=True)


def shard_of(upstream_id: UpstreamId, zone: ZoneId, shard_count: int) -> ShardId:
    """The ownership shard of an upstream, by a hash of its id."""
    return ShardId(zone, xxh64_intdigest(upstream_id.encode()) % shard_count)


def earlier_homes(
    flow_key: FlowKey, current: PlacementTable, earlier: Sequence[PlacementTable]
) -> list[UpstreamId]:
    """The flow's homes in earlier tables, without its current home and duplicates.

    The homes are in the order of ``earlier``, which starts with the latest table.
    """
    seen = {current.home(flow_key)}
    homes = []
    for table in earlier:
        home = table.home(flow_key)
        if home is not None and home not in seen:
            seen.add(home)
            homes.append(home)
    return homes
