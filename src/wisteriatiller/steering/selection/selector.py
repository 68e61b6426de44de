"""Selects an upstream for each new flow, by weighted least connections.

The load of an upstream is this host's own open flows there, divided by its slots. If
each host balances its own flows, the sum over all hosts is nearly even too, without any
exchange of counts. Ties are broken by a hash of the flow, since otherwise all hosts
would start with the same upstream.
"""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, UpstreamId

from ..directory import DirectoryEntry
from ..evidence import FindingsView, HealthState, OutlierDetector, SilentVerdicts
from ..flowtable import FlowTable
from ..routes import ConfigView
from ..settings import SteeringSettings
from .bursts import BurstDetector
from .candidates import (
    EntriesByZone,
    ServiceEntries,
    hash_fraction,
    sample_candidates,
)
from .silenttrials import SilentTrials
from .slowstart import SlowStart
from .trials import TrialPolicy
from .warmuplimit import WarmupLimit
from .zonespill import ZoneSpill


class Selection(NamedTuple):
    """The selected entry, and the number of entries that were compared.

    ``is_trial`` marks a suspect that is tried with this flow, ``is_overflow`` a flow
    that leaves its zone because of the loads of the zones, and ``is_silent_trial`` an
    upstream that the zone has found silent.
    """

    entry: DirectoryEntry
    candidate_count: int
    is_trial: bool
    is_overflow: bool = False
    is_silent_trial: bool = False


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
        """Return the best entry for a new flow; None if none may take it.

        ``excluded`` holds the upstreams that this flow has tried already. They are
        selected only if there are no others.
        """

    def zone_utilization(self) -> float:
        """The highest utilization of the own zone by its clients, of all services."""
        return 0.0


class LeastFlowsSelector(UpstreamSelector):
    """Selects the least loaded entry of a service.

    New flows stay in the host's zone, where a network partition between zones cannot
    break them, except during a burst that exceeds the capacity of the zone, and for
    what ``ZoneSpill`` sends to other zones.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        config: ConfigView,
        flows: FlowTable,
        outliers: OutlierDetector,
        findings: FindingsView,
        warmup_limit: WarmupLimit,
    ):
        self._zone = settings.zone
        self._remote_weight = settings.remote_weight
        self._flows = flows
        self._outliers = outliers
        self._entries = EntriesByZone(settings.zone)
        self._bursts = BurstDetector()
        self._trials = TrialPolicy(settings.zone, outliers, warmup_limit)
        self._silent_trials = SilentTrials(settings, SilentVerdicts(findings, outliers))
        self._slow_start = SlowStart(settings, config, outliers, findings)
        self._warmup_limit = warmup_limit
        self.spill: ZoneSpill | None = None
        if settings.uses_zone_findings:
            self.spill = ZoneSpill(settings.zone, outliers, findings)

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
        service_entries = self._entries.split(entries)
        is_burst = self._bursts.count_and_detect(service_entries, now_s)
        sampled = _sample(service_entries, flow)
        silent_trial = self._silent_trials.pick(sampled, excluded, now_s)
        if silent_trial is not None and self._warmup_limit.allows(silent_trial, now_s):
            return Selection(silent_trial, len(sampled), False, is_silent_trial=True)
        overflow = self._overflow_pool(service_entries, flow, excluded, now_s)
        candidates = self._silent_trials.filter(overflow or sampled, now_s)
        candidates = _untried(candidates, excluded)
        allowed = self._warmup_limit.allowed(candidates, now_s)
        pool = allowed or self._warmup_limit.allowed(entries, now_s)
        if not pool:
            return None
        trial = self._trials.pick(allowed, excluded, is_burst, now_s)
        if trial is not None:
            return Selection(trial, len(pool), True, bool(overflow))
        trusted = [entry for entry in pool if self._is_trusted(entry)] or pool
        due = self._warmup_limit.pick_due(trusted, flow, now_s)
        if due is not None:
            return Selection(due, len(trusted), False, bool(overflow))
        even_count = self._even_count(trusted, is_burst)
        trusted = self._slow_start.filter(trusted, flow, now_s, even_count) or trusted
        remote_weight = 1.0 if is_burst else self._remote_weight
        best = min(
            trusted, key=lambda entry: self._sort_key(entry, flow, remote_weight)
        )
        return Selection(best, len(trusted), False, bool(overflow))

    def zone_utilization(self) -> float:
        if self.spill is None:
            return 0.0
        return max(self.spill.utilization_by_service().values(), default=0.0)

    def _overflow_pool(
        self,
        service_entries: ServiceEntries,
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> list[DirectoryEntry]:
        """The entries of the zone that a flow overflows to; empty if it does not.

        A flow that an upstream has delayed stays: the path to that zone may be cut.
        """
        if self.spill is None or (excluded and service_entries.local):
            return []
        zone = self.spill.choose_zone(service_entries, flow, now_s)
        if zone is None:
            return []
        sampled = sample_candidates(service_entries.by_zone[zone], flow)
        return [
            entry
            for entry in sampled
            if entry.upstream.upstream_id not in excluded
            and (self._is_trusted(entry) or self._is_trial_due(entry, now_s))
        ]

    def _even_count(self, pool: Sequence[DirectoryEntry], is_burst: bool) -> int | None:
        """The number of entries that flows are spread over; None for the whole pool.

        While flows stay in the zone, an even share is that of the zone's upstreams.
        """
        if self.spill is None or is_burst:
            return None
        return sum(entry.upstream.zone == self._zone for entry in pool) or None

    def _is_trial_due(self, entry: DirectoryEntry, now_s: float) -> bool:
        health = self._outliers.health_of(entry.upstream.upstream_id)
        return health.is_trial_due(now_s)

    def _is_trusted(self, entry: DirectoryEntry) -> bool:
        health = self._outliers.health_of(entry.upstream.upstream_id)
        return health.state is HealthState.TRUSTED

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
        return (flows + 1) / weight, hash_fraction(entry, flow)


def _sample(service_entries: ServiceEntries, flow: FlowKey) -> list[DirectoryEntry]:
    """Sample the own zone and the other zones."""
    return [
        *sample_candidates(service_entries.local, flow),
        *sample_candidates(service_entries.remote, flow),
    ]


def _untried(
    entries: Sequence[DirectoryEntry], excluded: Collection[UpstreamId]
) -> Sequence[DirectoryEntry]:
    """Leave out what the flow has tried, unless there is no other."""
    untried = [entry for entry in entries if entry.upstream.upstream_id not in excluded]
    return untried or entries
