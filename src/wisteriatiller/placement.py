"""Placement of flows by weighted rendezvous hashing.

Every host computes the same home upstream for a flow from the configuration alone::

    table = PlacementTable((("stock-1", 1.0), ("stock-2", 1.0)))
    table.home(flow_key)
"""

import math
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest, xxh64_intdigest

from wisteriatiller.ids import FlowKey, HostId, ShardId, UpstreamId, ZoneId

_HASH_RANGE = float(1 << 64)


class PlacementTable:
    """The upstreams that may take new flows of a service, with their weights."""

    def __init__(self, weights: Iterable[tuple[UpstreamId, float]]):
        self.weights = tuple(weights)
        self._seeds = [
            (xxh3_64_intdigest(upstream_id.encode()), upstream_id, weight)
            for upstream_id, weight in self.weights
            if weight > 0
        ]
        self._equal_weights = len({weight for _, _, weight in self._seeds}) <= 1

    def __eq__(self, other) -> bool:
        return isinstance(other, PlacementTable) and self.weights == other.weights

    def __hash__(self) -> int:
        return hash(self.weights)

    def __bool__(self) -> bool:
        return bool(self._seeds)

    def home(self, flow_key: FlowKey) -> UpstreamId | None:
        """The upstream with the highest score for the flow, or None if empty."""
        if not self._seeds:
            return None
        if self._equal_weights:
            return max(
                self._seeds, key=lambda seed: xxh3_64_intdigest(flow_key, seed[0])
            )[1]
        return max(self._seeds, key=lambda seed: _score(flow_key, seed[0], seed[2]))[1]

    def ranked(self, flow_key: FlowKey) -> list[UpstreamId]:
        """All upstreams, best first; the home is the first."""
        if self._equal_weights:
            key = lambda seed: xxh3_64_intdigest(flow_key, seed[0])  # noqa: E731
        else:
            key = lambda seed: _score(flow_key, seed[0], seed[2])  # noqa: E731
        return [seed[1] for seed in sorted(self._seeds, key=key, reverse=True)]


def _score(flow_key: bytes, seed: int, weight: float) -> float:
    # With -w/ln(u), each upstream wins a share of the flows equal to its share of
    # the weights, and a changed weight moves only the flows that it has to.
    draw = (xxh3_64_intdigest(flow_key, seed) + 1) / (_HASH_RANGE + 2)
    return -weight / math.log(draw)


def host_score(key: str, host_id: HostId) -> tuple[int, HostId]:
    """What ``rank_hosts`` orders a host by."""
    return xxh64_intdigest(f"{key}|{host_id}".encode()), host_id


def rank_hosts(key: str, host_ids: Iterable[HostId]) -> list[HostId]:
    """Order hosts for ``key`` by rendezvous hashing, best first."""
    return sorted(host_ids, key=lambda host_id: host_score(key, host_id), reverse=True)


def shard_of(upstream_id: UpstreamId, zone: ZoneId, shard_count: int) -> ShardId:
    """The ownership shard of an upstream."""
    return ShardId(zone, xxh64_intdigest(upstream_id.encode()) % shard_count)


def earlier_homes(
    flow_key: FlowKey, current: PlacementTable, earlier: Sequence[PlacementTable]
) -> list[UpstreamId]:
    """Homes of the flow in earlier tables that differ from its current home.

    The latest table comes first, and no upstream is named twice.
    """
    seen = {current.home(flow_key)}
    homes = []
    for table in earlier:
        home = table.home(flow_key)
        if home is not None and home not in seen:
            seen.add(home)
            homes.append(home)
    return homes
