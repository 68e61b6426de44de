"""Selects an upstream for each new flow, by weighted least connections.

The load of an upstream is this host's own open flows there, divided by its slots. If
each host balances its own flows, the sum over all hosts is nearly even too, without any
exchange of counts. Ties are broken by a hash of the flow, since otherwise all hosts
would start with the same upstream.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId, ZoneId

from .directory import DirectoryEntry
from .flowtable import FlowTable
from .outlierdetection import HealthState, OutlierDetector, UpstreamHealth
from .slowupstreams import Shares

_HASH_SPACE = float(1 << 64)

# Upstreams of a service that are compared for one flow: so many of the host's zone, and
# so many of other zones.
MAX_SAMPLED_ENTRIES = 24

# Speed of a cold upstream relative to a warm one, approximately.
COLD_UPSTREAM_SHARE = 0.6
# Recent new flows above which other zones take flows too: so many for each slot of the
# host's zone, plus an allowance for flows that coincide by chance. All hosts of a zone
# see their share of the same burst, so each decides alone.
BURST_FLOWS_PER_SLOT = 0.75
BURST_FLOWS_ALLOWANCE = 2.0
BURST_DECAY_S = 0.5


class Selection(NamedTuple):
    """The selected entry, and the number of entries that were compared.

    ``is_trial`` marks a suspect that is tried with this flow.
    """

    entry: DirectoryEntry
    candidate_count: int
    is_trial: bool


class DecayingFlowCount:
    """An exponentially decaying count of new flows."""

    def __init__(self):
        self._count = 0.0
        self._updated_at_s = 0.0

    def add(self, now_s: float) -> None:
        self._count = self.value(now_s) + 1.0
        self._updated_at_s = now_s

    def value(self, now_s: float) -> float:
        return self._count * math.exp((self._updated_at_s - now_s) / BURST_DECAY_S)


class ServiceEntries:
    """The entries of a service, split into the host's own zone and other zones."""

    __slots__ = ("entries", "local", "local_slots", "remote")

    def __init__(self, entries: Sequence[DirectoryEntry], zone: ZoneId):
        self.entries = entries
        self.local = [entry for entry in entries if entry.upstream.zone == zone]
        self.remote = [entry for entry in entries if entry.upstream.zone != zone]
        self.local_slots = sum(entry.upstream.slots for entry in self.local)


def sample_candidates(
    entries: Sequence[DirectoryEntry], flow: FlowKey
) -> Sequence[DirectoryEntry]:
    """Return at most ``MAX_SAMPLED_ENTRIES`` entries, starting at a hash of the flow.

    The least loaded of a sample is nearly the least loaded of all, at a cost that does
    not grow with the size of the service.
    """
    if len(entries) <= MAX_SAMPLED_ENTRIES:
        return entries
    start = xxh3_64_intdigest(flow) % len(entries)
    end = start + MAX_SAMPLED_ENTRIES
    return [*entries[start:end], *entries[: max(0, end - len(entries))]]


class UpstreamSelector(ABC):
    """A policy that selects the upstream of a new flow."""

    @abstractmethod
    def select(
        self,
        entries: Sequence[DirectoryEntry],
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Selection | None:
        """Return the best entry for a new flow; None if there are no entries.

        ``excluded`` holds the upstreams that this flow has tried already. They are
        selected only if there are no others.
        """


class LeastFlowsSelector(UpstreamSelector):
    """Selects the least loaded entry of a service.

    New flows stay in the host's zone, where a network partition between zones cannot
    break them, except during a burst that exceeds the capacity of the zone.
    """

    def __init__(
        self,
        zone: ZoneId,
        remote_weight: float,
        flows: FlowTable,
        outliers: OutlierDetector,
        shares: Shares,
    ):
        self._zone = zone
        self._shares = shares
        self._remote_weight = remote_weight
        self._flows = flows
        self._outliers = outliers
        self._recent_flows: dict[ServiceId, DecayingFlowCount] = {}
        self._entries_by_service: dict[ServiceId, ServiceEntries] = {}

    def select(
        self,
        entries: Sequence[DirectoryEntry],
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Selection | None:
        # Excluded upstreams and suspects are used if there are no others: a bad link of
        # this host may make all upstreams suspect, and must not fail the service.
        if not entries:
            return None
        service_entries = self._split_by_zone(entries)
        sampled = [
            *sample_candidates(service_entries.local, flow),
            *sample_candidates(service_entries.remote, flow),
        ]
        untried = [
            entry for entry in sampled if entry.upstream.upstream_id not in excluded
        ]
        pool = untried or sampled
        is_burst = self._count_and_detect_burst(service_entries, now_s)
        trial = self._pick_trial(pool, excluded, is_burst, now_s)
        if trial is not None:
            return Selection(trial, len(pool), True)
        trusted = [entry for entry in pool if self._is_trusted(entry)] or pool
        trusted = self._apply_slow_start(trusted, flow, now_s) or trusted
        remote_weight = 1.0 if is_burst else self._remote_weight
        best = min(
            trusted, key=lambda entry: self._sort_key(entry, flow, remote_weight)
        )
        return Selection(best, len(trusted), False)

    def _split_by_zone(self, entries: Sequence[DirectoryEntry]) -> ServiceEntries:
        service = entries[0].upstream.service
        service_entries = self._entries_by_service.get(service)
        # The directory builds a new list whenever an entry changes.
        if service_entries is None or service_entries.entries is not entries:
            service_entries = self._entries_by_service[service] = ServiceEntries(
                entries, self._zone
            )
        return service_entries

    def _count_and_detect_burst(
        self, service_entries: ServiceEntries, now_s: float
    ) -> bool:
        """Count a new flow; return whether recent ones exceed the zone's capacity."""
        service = service_entries.entries[0].upstream.service
        recent = self._recent_flows.setdefault(service, DecayingFlowCount())
        recent.add(now_s)
        limit = (
            BURST_FLOWS_PER_SLOT * service_entries.local_slots + BURST_FLOWS_ALLOWANCE
        )
        return recent.value(now_s) > limit

    def _pick_trial(
        self,
        pool: Sequence[DirectoryEntry],
        excluded: Collection[UpstreamId],
        is_burst: bool,
        now_s: float,
    ) -> DirectoryEntry | None:
        """Return a suspect that is due for a trial with one new flow, if any.

        A flow that another upstream has already delayed is not used as a trial.
        """
        if excluded:
            return None
        has_local = any(entry.upstream.zone == self._zone for entry in pool)
        for entry in pool:
            health = self._health_of(entry)
            if health.state is not HealthState.SUSPECT or not health.is_trial_due(
                now_s
            ):
                continue
            is_needed = entry.upstream.zone == self._zone or not has_local
            # A burst needs the other zones too. An old suspicion may stem from a
            # partition that has healed since.
            if is_needed or (is_burst and health.is_suspicion_stale(now_s)):
                health.record_trial(now_s)
                return entry
        return None

    def _apply_slow_start(
        self, pool: Sequence[DirectoryEntry], flow: FlowKey, now_s: float
    ) -> list[DirectoryEntry]:
        """Filter out upstreams in slow start, except for their share of the flows.

        New, returned and slow upstreams have the fewest open flows, and would get all
        new ones while they are still slow. A share is a probability for each flow, so
        that the hosts of a zone do not all turn away from an upstream at once.
        """
        return [
            entry
            for entry in pool
            if self._hash_fraction(entry, flow) * len(pool)
            < self._slow_start_share(entry, now_s)
        ]

    def _slow_start_share(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the fraction of an even share that an upstream may take.

        Infinity means that the upstream is not limited.
        """
        share = self._shares.fraction_for(entry.tag, now_s)
        slow_start_share = min(share, self._health_of(entry).slow_start_share(now_s))
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(slow_start_share, COLD_UPSTREAM_SHARE)
        return slow_start_share if slow_start_share < 1.0 else math.inf

    def _hash_fraction(self, entry: DirectoryEntry, flow: FlowKey) -> float:
        return xxh3_64_intdigest(flow, seed=entry.tag) / _HASH_SPACE

    def _is_trusted(self, entry: DirectoryEntry) -> bool:
        return self._health_of(entry).state is HealthState.TRUSTED

    def _health_of(self, entry: DirectoryEntry) -> UpstreamHealth:
        return self._outliers.health_of(entry.upstream.upstream_id)

    def _sort_key(
        self,
        entry: DirectoryEntry,
        flow: FlowKey,
        remote_weight: float,
    ) -> tuple[float, float]:
        upstream = entry.upstream
        weight = float(upstream.slots)
        if upstream.zone != self._zone:
            weight *= remote_weight
        flows = self._flows.open_flow_count(upstream.upstream_id)
        return (flows + 1) / weight, self._hash_fraction(entry, flow)
