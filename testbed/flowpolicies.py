"""Standard policies for the choice of an upstream, to weigh the product's own against.

All of them leave out what the flow has tried, and none looks at upstream health.
"""

import random
from abc import abstractmethod
from collections.abc import Mapping

from wisteriatiller.placement import PlacementTable
from wisteriatiller.steering.selection import (
    LeastFlowsSelector,
    Selection,
    UpstreamSelector,
)
from wisteriatiller.steering.selection.bursts import BurstDetector
from wisteriatiller.steering.selection.candidates import EntriesByZone
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import Tag

from .upstreamtotals import UpstreamTotal

LOCAL_WEIGHT = 8.0
NO_TOTAL = UpstreamTotal()


class _PlainChooser(UpstreamSelector):
    def __init__(self, steering: FlowSteering):
        self._zone = steering.settings.zone
        self._flows = steering.flows

    def select(self, entries, flow, excluded, now_s):
        untried = [
            entry for entry in entries if entry.upstream.upstream_id not in excluded
        ]
        pool = untried or list(entries)
        return Selection(self._best(pool, flow), len(pool), False) if pool else None

    @abstractmethod
    def _best(self, pool, flow):
        """The entry of the pool that the flow goes to."""

    def _flows_per_slot(self, entry) -> float:
        flows = self._flows.open_flow_count(entry.upstream.upstream_id)
        return (flows + 1) / entry.upstream.slots


class RendezvousChooser(_PlainChooser):
    """A weighted rendezvous hash that prefers the own zone eight times."""

    def _best(self, pool, flow):
        weights = [
            (index, LOCAL_WEIGHT if entry.upstream.zone == self._zone else 1.0)
            for index, entry in enumerate(pool)
        ]
        table = PlacementTable(
            (pool[index].upstream.upstream_id, weight) for index, weight in weights
        )
        home = table.home(flow)
        return next(entry for entry in pool if entry.upstream.upstream_id == home)


class LeastFlowsChooser(_PlainChooser):
    """The fewest open flows of this host for each slot, in all zones alike."""

    def _best(self, pool, flow):
        return min(pool, key=lambda entry: (self._flows_per_slot(entry), hash(flow)))


class TwoChoicesChooser(_PlainChooser):
    """The less loaded of two upstreams that are drawn by the flow."""

    def _best(self, pool, flow):
        drawn = random.Random(flow).sample(pool, min(2, len(pool)))
        return min(drawn, key=self._flows_per_slot)


class _SummedChooser(_PlainChooser):
    """Chooses by what hosts sum up, in the zones that the product uses without loads.

    ``totals`` are as old as the exchange between hosts makes them.
    """

    def __init__(self, steering: FlowSteering):
        super().__init__(steering)
        self.totals: Mapping[Tag, UpstreamTotal] = {}
        self._entries = EntriesByZone(steering.settings.zone)
        self._bursts = BurstDetector()

    def select(self, entries, flow, excluded, now_s):
        split = self._entries.split(entries)
        is_burst = self._bursts.count_and_detect(split, now_s)
        usable = split.entries if is_burst or not split.local else split.local
        return super().select(usable, flow, excluded, now_s)

    def _total(self, entry) -> UpstreamTotal:
        return self.totals.get(entry.tag, NO_TOTAL)


class RateSharesChooser(_SummedChooser):
    """Shares in proportion to the measured service rate."""

    def _best(self, pool, flow):
        rates = [self._total(entry).mean_response_s for entry in pool]
        known_s = [rate for rate in rates if rate]
        usual_s = sum(known_s) / len(known_s) if known_s else 1.0
        weights = [
            entry.upstream.slots / (mean_s or usual_s)
            for entry, mean_s in zip(pool, rates, strict=True)
        ]
        return random.Random(flow).choices(pool, weights)[0]


class SummedTwoChoicesChooser(_SummedChooser):
    """Of two upstreams the one with fewer requests in flight from all hosts."""

    def _best(self, pool, flow):
        drawn = random.Random(flow).sample(pool, min(2, len(pool)))
        return min(drawn, key=self._requests_per_slot)

    def _requests_per_slot(self, entry) -> float:
        return (self._total(entry).in_flight + 1) / entry.upstream.slots


class ReportedLoadChooser(SummedTwoChoicesChooser):
    """Of two upstreams the one that itself reports the lower load."""

    def _requests_per_slot(self, entry) -> float:
        return (self._total(entry).reported_load + 1) / entry.upstream.slots


class PresentLoadSelector(LeastFlowsSelector):
    """The product, but with an overflow that follows the present load of zones."""

    def __init__(self, steering: FlowSteering):
        super().__init__(
            steering.settings,
            None,
            steering.flows,
            steering.outliers,
            steering.findings,
        )
        self.spill = _PresentLoadSpill(steering)


class _PresentLoadSpill:
    """Overflow from half of the slots on, by the spare capacity that the loads show."""

    def __init__(self, steering: FlowSteering):
        self._zone = steering.settings.zone
        self._findings = steering.findings

    def choose_zone(self, service_entries, flow, now_s):
        slots = {
            zone: sum(entry.upstream.slots for entry in entries)
            for zone, entries in service_entries.by_zone.items()
        }
        used = dict.fromkeys(slots, 0.0)
        for load in self._findings.loads(now_s):
            used[load.upstream_zone] += load.in_flight / slots[load.upstream_zone]
        own = used[self._zone]
        rng = random.Random(flow)
        if rng.random() >= 2.0 * (own - 0.5):
            return None
        weights = {
            zone: slots[zone] * max(0.05, 1.25 - used[zone])
            for zone in slots
            if zone == self._zone or used[zone] <= own - 0.1
        }
        zone = rng.choices(list(weights), list(weights.values()))[0]
        return None if zone == self._zone else zone
