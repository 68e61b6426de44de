"""Decides which new flows leave the host's zone, by the loads of all zones.

The load that counts for a zone is that of its own clients, in whichever zone their
requests are in flight, divided by the slots of the zone. A flow that overflows does not
change it, so that hosts which act on loads of up to 1.8 s ago do not send flows away
and back in turns. All hosts compute the same plan from the same loads: the flows that
several zones send to a zone together fit into the room that it has.
"""

import math
from bisect import bisect
from collections.abc import Mapping, Sequence
from itertools import accumulate
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, ServiceId, ZoneId

from ..directory import DirectoryEntry
from ..evidence import FindingsView, HealthState, OutlierDetector, ServiceLoad
from .candidates import ServiceEntries, draw_by_hash

# Requests in flight per slot up to which a zone keeps the flows of its clients. Half of
# the slots are left for what arrives before the next loads.
MAX_UTILIZATION_AT_HOME = 0.5
# Smaller differences between two zones are within the noise of the loads.
MIN_UTILIZATION_DIFFERENCE = 0.1
# A zone is cut off from this host if it suspects more of the zone's slots than this.
MAX_SUSPECT_FRACTION = 0.5
# Part of its slots that a full zone offers to the flows of a zone without upstreams,
# which have to go somewhere.
MIN_ROOM_PER_SLOT = 0.05
# Loads change with each answer of the reader, suspicions at any time.
REPLAN_INTERVAL_S = 0.1
# Requests in flight at one moment vary by chance like a Poisson count, and so would the
# overflow. A change beyond chance, as by a burst, is followed sooner.
SMOOTHING_S = 2.0
BURST_SMOOTHING_S = 0.5
SIGNIFICANT_DEVIATIONS = 4.0
_HASH_SEED = 1


class ZoneLoad(NamedTuple):
    """A zone's slots for a service, and the requests in flight of its own clients.

    ``demand`` is None if no recent load tells of the zone.
    """

    zone: ZoneId
    slots: int
    demand: float | None
    is_cut_off: bool = False

    @property
    def utilization(self) -> float:
        """The requests in flight per slot if the zone kept all of its flows."""
        return (self.demand or 0) / self.slots


class SpillPlan(NamedTuple):
    """The fraction of a service's new flows that leave the zone, and where they go.

    ``utilization`` is that of the own zone; None if it is unknown.
    """

    fraction: float = 0.0
    weights: Mapping[ZoneId, float] = {}
    utilization: float | None = None


STAY = SpillPlan()


def plan_spill(own: ZoneLoad, others: Sequence[ZoneLoad]) -> SpillPlan:
    """Compute the overflow of a zone from the loads of all zones.

    Each zone keeps its flows up to ``MAX_UTILIZATION_AT_HOME``, or up to the mean of
    all zones if that is higher. The rest goes to zones that are below this level.
    """
    if not own.slots:
        return _plan_without_upstreams(own, others)
    if own.demand is None:
        return STAY
    usable = [
        load
        for load in others
        if load.slots and load.demand is not None and not load.is_cut_off
    ]
    level = _common_level((own, *others), (own, *usable))
    max_utilization = own.utilization - MIN_UTILIZATION_DIFFERENCE
    weights = {
        load.zone: level * load.slots - load.demand
        for load in usable
        if load.utilization < min(level, max_utilization)
    }
    excess = own.demand - level * own.slots
    if excess <= 0.0 or not weights:
        return STAY._replace(utilization=own.utilization)
    return SpillPlan(excess / own.demand, weights, own.utilization)


def _plan_without_upstreams(own: ZoneLoad, others: Sequence[ZoneLoad]) -> SpillPlan:
    """Spread all flows over the other zones by their room.

    A zone of which no load is known counts as busy as the busiest of the others.
    """
    listed = [load for load in others if load.slots]
    usable = [load for load in listed if not load.is_cut_off] or listed
    known = [load.utilization for load in usable if load.demand is not None]
    if not known:
        return STAY
    level = _common_level((own, *others), usable)
    weights = {}
    for load in usable:
        used = max(known) if load.demand is None else load.utilization
        weights[load.zone] = load.slots * max(MIN_ROOM_PER_SLOT, level - used)
    return SpillPlan(1.0, weights)


def _common_level(loads: Sequence[ZoneLoad], usable: Sequence[ZoneLoad]) -> float:
    """The utilization up to which each zone keeps its own flows."""
    demand = sum(load.demand or 0 for load in loads if load in usable or not load.slots)
    slots = sum(load.slots for load in usable)
    return max(MAX_UTILIZATION_AT_HOME, demand / slots)


class _CachedPlan(NamedTuple):
    computed_at_s: float
    entries: ServiceEntries
    demands: Mapping[ZoneId, float]
    plan: SpillPlan

    def is_current(self, entries: ServiceEntries, now_s: float) -> bool:
        is_recent = now_s - self.computed_at_s < REPLAN_INTERVAL_S
        return is_recent and self.entries is entries


class ZoneSpill:
    """Draws for each new flow whether it stays in the zone or which zone it goes to."""

    def __init__(self, zone: ZoneId, outliers: OutlierDetector, findings: FindingsView):
        self._zone = zone
        self._outliers = outliers
        self._findings = findings
        self._plans: dict[ServiceId, _CachedPlan] = {}

    def choose_zone(
        self, service_entries: ServiceEntries, flow: FlowKey, now_s: float
    ) -> ZoneId | None:
        """Return the other zone that a new flow goes to; None if none is preferred.

        The draw is a hash of the flow, so that each copy of its opening packet gets the
        same answer at every host.
        """
        plan = self.plan(service_entries, now_s)
        draw = draw_by_hash(flow, _HASH_SEED)
        if draw >= plan.fraction:
            return None
        return _weighted_zone(plan.weights, draw / plan.fraction)

    def plan(self, service_entries: ServiceEntries, now_s: float) -> SpillPlan:
        """The plan for a service, recomputed at intervals and on a new listing."""
        service = service_entries.service
        cached = self._plans.get(service)
        if cached is not None and cached.is_current(service_entries, now_s):
            return cached.plan
        demands = self._smoothed_demands(service, cached, now_s)
        plan = self._compute(service_entries, demands, now_s)
        self._plans[service] = _CachedPlan(now_s, service_entries, demands, plan)
        return plan

    def utilization_by_service(self) -> dict[ServiceId, float]:
        """The utilization of the own zone by its clients, as last computed."""
        return {
            service: cached.plan.utilization
            for service, cached in self._plans.items()
            if cached.plan.utilization is not None
        }

    def _smoothed_demands(
        self, service: ServiceId, cached: _CachedPlan | None, now_s: float
    ) -> dict[ZoneId, float]:
        """Each zone's demand, moved towards that of the present loads."""
        demands = _demand_by_zone(self._findings.loads(now_s), service)
        if cached is None:
            return demands
        elapsed_s = now_s - cached.computed_at_s
        return {
            zone: _smoothed(cached.demands.get(zone, demand), demand, elapsed_s)
            for zone, demand in demands.items()
        }

    def _compute(
        self,
        service_entries: ServiceEntries,
        demands: Mapping[ZoneId, float],
        now_s: float,
    ) -> SpillPlan:
        if not demands:
            return STAY
        zones = demands.keys() | service_entries.by_zone.keys() | {self._zone}
        zone_loads = {
            zone: self._zone_load(service_entries, zone, demands.get(zone), now_s)
            for zone in sorted(zones)
        }
        own = zone_loads.pop(self._zone)
        return plan_spill(own, list(zone_loads.values()))

    def _zone_load(
        self,
        service_entries: ServiceEntries,
        zone: ZoneId,
        demand: float | None,
        now_s: float,
    ) -> ZoneLoad:
        slots = suspect_slots = 0
        for entry in service_entries.by_zone.get(zone, ()):
            if self._findings.is_silent(entry.tag, now_s):
                continue
            slots += entry.upstream.slots
            if self._is_suspect(entry, now_s):
                suspect_slots += entry.upstream.slots
        is_cut_off = suspect_slots > MAX_SUSPECT_FRACTION * slots
        return ZoneLoad(zone, slots, demand, is_cut_off)

    def _is_suspect(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether a suspicion is recent; an old one may outlast a partition."""
        health = self._outliers.health_of(entry.upstream.upstream_id)
        is_suspect = health.state is HealthState.SUSPECT
        return is_suspect and not health.is_suspicion_stale(now_s)


def _demand_by_zone(
    loads: Sequence[ServiceLoad], service: ServiceId
) -> dict[ZoneId, float]:
    """The requests in flight of each zone's clients, for each zone that has reported.

    Of two loads of the same origin the newer one counts.
    """
    newest: dict[tuple[ZoneId, ZoneId], ServiceLoad] = {}
    for load in sorted(loads, key=lambda load: load.age_s, reverse=True):
        if load.service == service:
            newest[load.reporting_zone, load.upstream_zone] = load
    demands = dict.fromkeys((load.reporting_zone for load in loads), 0.0)
    for load in newest.values():
        demands[load.reporting_zone] += load.in_flight
    return demands


def _smoothed(before: float, present: float, elapsed_s: float) -> float:
    """Move a mean towards a present value."""
    chance = SIGNIFICANT_DEVIATIONS * math.sqrt(max(1.0, before))
    is_burst = abs(present - before) > chance
    time_s = BURST_SMOOTHING_S if is_burst else SMOOTHING_S
    return present + (before - present) * math.exp(-elapsed_s / time_s)


def _weighted_zone(weights: Mapping[ZoneId, float], draw: float) -> ZoneId:
    """Pick a zone with a probability in proportion to its weight."""
    zones = list(weights)
    reached = list(accumulate(weights.values()))
    index = bisect(reached, draw * reached[-1])
    return zones[min(index, len(zones) - 1)]
