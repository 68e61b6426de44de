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
from .candidates import EntriesByZone, hash_fraction, sample_candidates
from .silenttrials import SilentTrials
from .slowstart import SlowStart
from .trials import TrialPolicy


class Selection(NamedTuple):
    """The selected entry, and the number of entries that were compared.

    ``is_trial`` marks a suspect that is tried with this flow, and ``is_silent_trial``
    an upstream that the zone has found silent.
    """

    entry: DirectoryEntry
    candidate_count: int
    is_trial: bool
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
        settings: SteeringSettings,
        config: ConfigView,
        flows: FlowTable,
        outliers: OutlierDetector,
        findings: FindingsView,
    ):
        self._zone = settings.zone
        self._remote_weight = settings.remote_weight
        self._config = config
        self._flows = flows
        self._outliers = outliers
        self._entries = EntriesByZone(settings.zone)
        self._bursts = BurstDetector()
        self._trials = TrialPolicy(settings.zone, outliers)
        self._silent_trials = SilentTrials(settings, SilentVerdicts(findings, outliers))
        self._slow_start = SlowStart(outliers, findings)

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
        sampled = [
            *sample_candidates(service_entries.local, flow),
            *sample_candidates(service_entries.remote, flow),
        ]
        silent_trial = self._silent_trials.pick(sampled, excluded, now_s)
        sampled = self._silent_trials.filter(sampled, now_s)
        untried = [
            entry for entry in sampled if entry.upstream.upstream_id not in excluded
        ]
        pool = untried or sampled
        is_burst = self._bursts.count_and_detect(service_entries, now_s)
        if silent_trial is not None:
            return Selection(silent_trial, len(pool), False, is_silent_trial=True)
        trial = self._trials.pick(pool, excluded, is_burst, now_s)
        if trial is not None:
            return Selection(trial, len(pool), True)
        trusted = [entry for entry in pool if self._is_trusted(entry)] or pool
        trusted = self._slow_start.filter(trusted, flow, now_s) or trusted
        remote_weight = 1.0 if is_burst else self._remote_weight
        best = min(
            trusted, key=lambda entry: self._sort_key(entry, flow, remote_weight)
        )
        return Selection(best, len(trusted), False)

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
