"""Standard policies for the choice of an upstream, to weigh the product's own against.

All of them leave out what the flow has tried, and none looks at upstream health.
"""

import random
from abc import abstractmethod

from wisteriatiller.placement import PlacementTable
from wisteriatiller.steering.selection import Selection, UpstreamSelector
from wisteriatiller.steering.steering import FlowSteering

LOCAL_WEIGHT = 8.0


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
