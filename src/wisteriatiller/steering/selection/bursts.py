"""Detects bursts of new flows from what one host sees of them."""

from wisteriatiller.ids import ServiceId

from .candidates import ServiceEntries
from .decayingcount import DecayingCount

# Recent new flows above which other zones take flows too: so many for each slot of the
# host's zone, plus an allowance for flows that coincide by chance. All hosts of a zone
# see their share of the same burst, so each decides alone.
BURST_FLOWS_PER_SLOT = 0.75
BURST_FLOWS_ALLOWANCE = 2.0
BURST_DECAY_S = 0.5


class BurstDetector:
    """Counts the new flows of each service at this host."""

    def __init__(self):
        self._recent_flows: dict[ServiceId, DecayingCount] = {}

    def count_and_detect(self, service_entries: ServiceEntries, now_s: float) -> bool:
        """Count a new flow; return whether recent ones exceed the zone's capacity."""
        service = service_entries.service
        recent = self._recent_flows.setdefault(service, DecayingCount(BURST_DECAY_S))
        recent.add(now_s)
        limit = (
            BURST_FLOWS_PER_SLOT * service_entries.local_slots + BURST_FLOWS_ALLOWANCE
        )
        return recent.value(now_s) > limit

    def recent_flows(self, service: ServiceId, now_s: float) -> float:
        """The decaying count of new flows of a service at this host."""
        recent = self._recent_flows.get(service)
        return 0.0 if recent is None else recent.value(now_s)
