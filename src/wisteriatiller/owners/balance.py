"""Choice of the upstream for a new flow by bounded load.

A flow is placed on its home, the upstream that every host computes, unless the home
has more than its share of the service's open flows. Most flows so stay at home, where
no record of an exception is needed, and what hashing alone leaves uneven is evened
out.
"""

import statistics
from dataclasses import dataclass

from wisteriatiller.configuration import ConfigSource, Service
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId

from .flowopening import UpstreamChooser
from .loads import LoadTable, UpstreamLoad

# A home sends flows away with a probability that rises from 0 at its fair count to 1
# at this excess. A sharp bound would make the new flows of an upstream that restarted
# swing between too many and none, with the period of the flows' idle limit.
FULL_EXCESS = 0.10
# Other upstreams take flows up to this excess.
MAX_EXCESS = 0.02
# Counts of few flows differ by chance; this many more are no excess.
SLACK_FLOWS = 2
CHOICES = 2
# A cold upstream gets a few flows from the start, so that it has something to warm
# up with.
MIN_SHARE = 0.05
# Answer times of equal upstreams differ by chance; only a clear difference counts.
SLOW_FACTOR = 1.3
# An upstream with clearly less than its share, such as one that restarted, is the
# only one with room, and all owners would send it their excess at once. It may get
# no more than a small share of a usual upstream's new flows in addition to its own.
UNDERFILLED_SHARE = 0.97
UNDERFILLED_MIN_FLOWS = 20
REFILL_EXCESS = 0.15
REFILL_BURST_S = 1.0
# The sums over a service's upstreams are kept for this long, so that opening a flow
# does not cost a pass over all of them.
VIEW_LIFETIME_S = 0.1


@dataclass(slots=True)
class _View:
    """Sums over the available upstreams of one service.

    ``weights`` holds the weight of each after its measured speed, and ``shares`` what
    slow start allows of it.
    """

    made_s: float
    open_flows: float
    opening_rate: float
    weights: dict[UpstreamId, float]
    shares: dict[UpstreamId, float]
    sum_of_weights: float

    def fair_count(self, upstream_id: UpstreamId) -> float:
        """The open flows of the upstream if all had their share."""
        return self.open_flows * self.weights[upstream_id] / self.sum_of_weights


class _RefillBudget:
    """Limits the flows that this owner adds to one underfilled upstream."""

    def __init__(self, now_s: float):
        self._tokens = 1.0
        self._at_s = now_s

    def take(self, now_s: float, rate: float) -> bool:
        gained = (now_s - self._at_s) * rate
        self._tokens = min(max(1.0, rate * REFILL_BURST_S), self._tokens + gained)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedLoadChooser(UpstreamChooser):
    """Home, or if it has more than its share of the open flows, maybe another.

    That is the less loaded of the two upstreams that rank next for the flow and are
    within their own bounds.
    """

    def __init__(
        self, environment: Environment, source: ConfigSource, load_table: LoadTable
    ):
        self._environment = environment
        self._source = source
        self._load_table = load_table
        self._views: dict[ServiceId, _View] = {}
        self._refills: dict[UpstreamId, _RefillBudget] = {}

    def choose(
        self, service: Service, flow_key: FlowKey, home: UpstreamId
    ) -> UpstreamId:
        view = self._view(service)
        chosen = self._choose(service, flow_key, home, view)
        view.open_flows += 1
        if chosen != home:
            self._load_table.note_placed(chosen)
            self._environment.metrics.count("balance.away_from_home")
        return chosen

    def _choose(self, service, flow_key, home, view: _View) -> UpstreamId:
        is_warm = home in view.weights and self._is_let_in(view, home)
        if is_warm and not self._sends_away(view, home):
            return home
        table = self._source.configuration.tables[service.service_id]
        others = [
            upstream_id
            for upstream_id in table.ranked(flow_key)
            if upstream_id != home and upstream_id in view.weights
        ]
        roomy = self._first_roomy(view, others)
        if not roomy and is_warm:
            return home
        warm = [item for item in others if self._is_let_in(view, item)]
        candidates = roomy or warm[:CHOICES] or others[:CHOICES]
        if not candidates:
            return home
        return min(candidates, key=lambda item: self._relative_load(view, item))

    def _first_roomy(self, view: _View, ranked: list[UpstreamId]) -> list[UpstreamId]:
        roomy = []
        for upstream_id in ranked:
            if (
                self._has_room(view, upstream_id)
                and self._is_let_in(view, upstream_id)
                and self._may_refill(view, upstream_id)
            ):
                roomy.append(upstream_id)
                if len(roomy) == CHOICES:
                    break
        return roomy

    def _is_let_in(self, view: _View, upstream_id: UpstreamId) -> bool:
        """Let the share of the flows pass that slow start allows."""
        share = view.shares[upstream_id]
        return share >= 1 or self._environment.random.random() < share

    def _sends_away(self, view: _View, home: UpstreamId) -> bool:
        load = self._load_table.load_of(home)
        fair_count = view.fair_count(home)
        if load is None or load.open_flows <= fair_count + SLACK_FLOWS:
            return False
        excess = (load.open_flows - SLACK_FLOWS) / max(1.0, fair_count) - 1
        return self._environment.random.random() < excess / FULL_EXCESS

    def _has_room(self, view: _View, upstream_id: UpstreamId) -> bool:
        load = self._load_table.load_of(upstream_id)
        if load is None:
            # Nothing is known against it: the others' loads may be unknown as well.
            return True
        share = view.weights[upstream_id] / view.sum_of_weights
        return load.open_flows < (1 + MAX_EXCESS) * (view.open_flows + 1) * share

    def _may_refill(self, view: _View, upstream_id: UpstreamId) -> bool:
        load = self._load_table.load_of(upstream_id)
        fair_count = view.fair_count(upstream_id)
        if load is None or load.open_flows >= min(
            UNDERFILLED_SHARE * fair_count, fair_count - UNDERFILLED_MIN_FLOWS
        ):
            return True
        now_s = self._environment.clock.now_s()
        budget = self._refills.get(upstream_id)
        if budget is None:
            budget = self._refills[upstream_id] = _RefillBudget(now_s)
        # The homes of the service share the excess, and each has an owner of its own.
        rate = REFILL_EXCESS * view.opening_rate / len(view.weights) ** 2
        return budget.take(now_s, rate)

    def _relative_load(self, view: _View, upstream_id: UpstreamId) -> float:
        load = self._load_table.load_of(upstream_id)
        open_flows = 0.0 if load is None else load.open_flows
        return open_flows / view.weights[upstream_id]

    def _view(self, service: Service) -> _View:
        now_s = self._environment.clock.now_s()
        view = self._views.get(service.service_id)
        if view is None or now_s - view.made_s > VIEW_LIFETIME_S:
            view = self._views[service.service_id] = self._make_view(service, now_s)
        return view

    def _make_view(self, service: Service, now_s: float) -> _View:
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
        return _View(
            now_s,
            sum(load.open_flows for load in available.values()),
            sum(load.opening_rate for load in available.values()),
            weights,
            {
                upstream_id: max(MIN_SHARE, load.share)
                for upstream_id, load in available.items()
            },
            sum(weights.values()),
        )


def _typical_service_time_s(loads) -> float:
    measured = [load.service_time_s for load in loads if load.service_time_s > 0]
    return statistics.median_low(measured) if measured else 0.0


def _speed(load: UpstreamLoad, typical_s: float) -> float:
    """The rate of a clearly slower upstream compared with a typical one."""
    if load.service_time_s <= SLOW_FACTOR * typical_s or typical_s == 0:
        return 1.0
    return typical_s / load.service_time_s
