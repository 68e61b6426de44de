"""Choice of the upstream for a new flow by bounded load.

A flow is opened on its home, the upstream that every host computes for it, unless the
home has more than its share of the service's open flows. So most flows are on their
home, which needs no record of an exception, and the unevenness that hashing alone
leaves is corrected.
"""

import statistics
from dataclasses import dataclass

from wisteriatiller.configuration import ConfigSource, Service
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId

from .flowopening import UpstreamChooser
from .loads import LoadTable, UpstreamLoad

# The probability that a new flow is diverted from its home rises from 0, at the home's
# fair count of open flows, to 1 at this excess over it. With a sharp threshold, the new
# flows of a restarted upstream would oscillate between too many and none, with the
# flows' idle timeout as period.
FULL_DIVERSION_EXCESS = 0.10
# Other upstreams accept diverted flows up to this excess over their fair share.
MAX_EXCESS = 0.02
# Small flow counts differ by chance; this many flows above the fair count are allowed.
TOLERATED_EXCESS_FLOWS = 2
CANDIDATE_COUNT = 2
# A cold upstream gets at least this share of its flows, since it warms up only by
# serving requests.
MIN_COLD_SHARE = 0.05
# Service times of equal upstreams differ by chance. An upstream counts as slow only if
# its service time exceeds the typical one by this factor.
SLOW_FACTOR = 1.3
# An upstream with clearly fewer flows than its fair count, such as one that restarted,
# is the only one with capacity, and all owners would divert flows to it at once. So
# the flows diverted to it are limited to a small share of the new flows that a typical
# upstream gets.
UNDERFILLED_SHARE = 0.97
UNDERFILLED_MIN_FLOWS = 20
REFILL_EXCESS = 0.15
REFILL_BURST_S = 1.0
# The sums over a service's upstreams are cached for this long, so that opening a flow
# does not have to iterate over all of them.
LOAD_CACHE_LIFETIME_S = 0.1


@dataclass(slots=True)
class _ServiceLoad:
    """The cached load of one service, summed over its available upstreams.

    ``weights`` holds each upstream's configured weight, reduced if it is slow.
    ``allowed_shares`` holds the part of its flows that slow start allows.
    """

    computed_s: float
    open_flows: float
    opening_rate: float
    weights: dict[UpstreamId, float]
    allowed_shares: dict[UpstreamId, float]
    total_weight: float

    def fair_count(self, upstream_id: UpstreamId) -> float:
        """The open flows that the upstream would have if they were spread by weight."""
        return self.open_flows * self.weights[upstream_id] / self.total_weight


class _RefillLimit:
    """Token bucket that limits the flows diverted to one underfilled upstream."""

    def __init__(self, now_s: float):
        self._tokens = 1.0
        self._refilled_s = now_s

    def take(self, now_s: float, rate: float) -> bool:
        """Take one token, with ``rate`` tokens added per second; False if empty."""
        added = (now_s - self._refilled_s) * rate
        self._tokens = min(max(1.0, rate * REFILL_BURST_S), self._tokens + added)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedLoadChooser(UpstreamChooser):
    """Chooses a flow's home, or another upstream if the home is overloaded.

    The alternative is the less loaded of the two upstreams that rank next for the
    flow and have capacity.
    """

    def __init__(
        self, environment: Environment, source: ConfigSource, load_table: LoadTable
    ):
        self._environment = environment
        self._source = source
        self._load_table = load_table
        self._service_loads: dict[ServiceId, _ServiceLoad] = {}
        self._refill_limits: dict[UpstreamId, _RefillLimit] = {}

    def choose(
        self, service: Service, flow_key: FlowKey, home: UpstreamId
    ) -> UpstreamId:
        service_load = self._current_load(service)
        chosen = self._choose(service, flow_key, home, service_load)
        service_load.open_flows += 1
        if chosen != home:
            self._load_table.count_placed(chosen)
            self._environment.metrics.count("balance.away_from_home")
        return chosen

    def _choose(
        self, service, flow_key, home, service_load: _ServiceLoad
    ) -> UpstreamId:
        is_warm = home in service_load.weights and self._passes_slow_start(
            service_load, home
        )
        if is_warm and not self._diverts_from_home(service_load, home):
            return home
        table = self._source.configuration.placement_tables[service.service_id]
        others = [
            upstream_id
            for upstream_id in table.ranked(flow_key)
            if upstream_id != home and upstream_id in service_load.weights
        ]
        with_capacity = self._first_with_capacity(service_load, others)
        if not with_capacity and is_warm:
            return home
        warm = [item for item in others if self._passes_slow_start(service_load, item)]
        candidates = with_capacity or warm[:CANDIDATE_COUNT] or others[:CANDIDATE_COUNT]
        if not candidates:
            return home
        return min(candidates, key=lambda item: self._relative_load(service_load, item))

    def _first_with_capacity(
        self, service_load: _ServiceLoad, ranked: list[UpstreamId]
    ) -> list[UpstreamId]:
        """The best-ranked upstreams that may take a diverted flow."""
        with_capacity = []
        for upstream_id in ranked:
            if (
                self._has_capacity(service_load, upstream_id)
                and self._passes_slow_start(service_load, upstream_id)
                and self._within_refill_limit(service_load, upstream_id)
            ):
                with_capacity.append(upstream_id)
                if len(with_capacity) == CANDIDATE_COUNT:
                    break
        return with_capacity

    def _passes_slow_start(
        self, service_load: _ServiceLoad, upstream_id: UpstreamId
    ) -> bool:
        """Whether slow start admits the flow; drawn at random by the allowed share."""
        share = service_load.allowed_shares[upstream_id]
        return share >= 1 or self._environment.random.random() < share

    def _diverts_from_home(self, service_load: _ServiceLoad, home: UpstreamId) -> bool:
        """Whether a flow is diverted from its home; drawn at random by the excess."""
        load = self._load_table.load_of(home)
        fair_count = service_load.fair_count(home)
        if load is None or load.open_flows <= fair_count + TOLERATED_EXCESS_FLOWS:
            return False
        excess = (load.open_flows - TOLERATED_EXCESS_FLOWS) / max(1.0, fair_count) - 1
        return self._environment.random.random() < excess / FULL_DIVERSION_EXCESS

    def _has_capacity(
        self, service_load: _ServiceLoad, upstream_id: UpstreamId
    ) -> bool:
        """Whether one more flow keeps the upstream within ``MAX_EXCESS``."""
        load = self._load_table.load_of(upstream_id)
        if load is None:
            # An unknown load is no reason to avoid an upstream; the loads of the others
            # may be unknown as well.
            return True
        share = service_load.weights[upstream_id] / service_load.total_weight
        return (
            load.open_flows < (1 + MAX_EXCESS) * (service_load.open_flows + 1) * share
        )

    def _within_refill_limit(
        self, service_load: _ServiceLoad, upstream_id: UpstreamId
    ) -> bool:
        """Whether the refill limit, if it applies to the upstream, allows a flow."""
        load = self._load_table.load_of(upstream_id)
        fair_count = service_load.fair_count(upstream_id)
        if load is None or load.open_flows >= min(
            UNDERFILLED_SHARE * fair_count, fair_count - UNDERFILLED_MIN_FLOWS
        ):
            return True
        now_s = self._environment.clock.now_s()
        limit = self._refill_limits.get(upstream_id)
        if limit is None:
            limit = self._refill_limits[upstream_id] = _RefillLimit(now_s)
        # The limit is divided among the owners of the service's upstreams: each diverts
        # flows of its own home.
        rate = (
            REFILL_EXCESS * service_load.opening_rate / len(service_load.weights) ** 2
        )
        return limit.take(now_s, rate)

    def _relative_load(
        self, service_load: _ServiceLoad, upstream_id: UpstreamId
    ) -> float:
        """Open flows per unit of weight; 0 if the load is unknown."""
        load = self._load_table.load_of(upstream_id)
        open_flows = 0.0 if load is None else load.open_flows
        return open_flows / service_load.weights[upstream_id]

    def _current_load(self, service: Service) -> _ServiceLoad:
        """The service's cached load, recomputed when it is too old."""
        now_s = self._environment.clock.now_s()
        service_load = self._service_loads.get(service.service_id)
        if (
            service_load is None
            or now_s - service_load.computed_s > LOAD_CACHE_LIFETIME_S
        ):
            service_load = self._service_loads[service.service_id] = self._compute_load(
                service, now_s
            )
        return service_load

    def _compute_load(self, service: Service, now_s: float) -> _ServiceLoad:
        loads = {}
        for upstream in service.upstreams.values():
            load = self._load_table.load_of(upstream.upstream_id)
            if load is not None and not upstream.drain and upstream.weight > 0:
                loads[upstream.upstream_id] = load
        typical_s = _typical_service_time_s(loads.values())
        available = {
            upstream_id: load for upstream_id, load in loads.items() if load.share > 0
        }
        weights = {
            upstream_id: service.upstreams[upstream_id].weight * _speed(load, typical_s)
            for upstream_id, load in available.items()
        }
        return _ServiceLoad(
            now_s,
            sum(load.open_flows for load in available.values()),
            sum(load.opening_rate for load in available.values()),
            weights,
            {
                upstream_id: max(MIN_COLD_SHARE, load.share)
                for upstream_id, load in available.items()
            },
            sum(weights.values()),
        )


def _typical_service_time_s(loads) -> float:
    """The median of the known service times; 0 if none is known."""
    measured = [load.service_time_s for load in loads if load.service_time_s > 0]
    return statistics.median_low(measured) if measured else 0.0


def _speed(load: UpstreamLoad, typical_s: float) -> float:
    """The relative speed of a slow upstream; 1 for one that is not slow."""
    if load.service_time_s <= SLOW_FACTOR * typical_s or typical_s == 0:
        return 1.0
    return typical_s / load.service_time_s
