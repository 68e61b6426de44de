"""The choice of an upstream for a new flow.

Each host places its flows by weighted least flows: an upstream's own open flows over
its slots. The hosts' counts add up, so that the sum over all hosts is nearly even
without a message between them. Equal upstreams are told apart by a hash of the flow,
or else all hosts would begin with the same one.
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

_HASH_RANGE = float(1 << 64)

# Upstreams of a service that are compared for one flow, in the own zone and elsewhere.
MAX_CANDIDATES = 24

# A cold upstream works slower than a warm one by about this factor.
COLD_SHARE = 0.6
# New flows of the last moments, above which the other zones help: so many for each
# slot of the own zone, and some that come together by chance. All hosts of a zone see
# their share of the same wave.
BURST_FLOWS_PER_SLOT = 0.75
BURST_FLOWS_BY_CHANCE = 2.0
BURST_DECAY_S = 0.5


class Choice(NamedTuple):
    """The chosen entry, and how many entries stood for choice."""

    entry: DirectoryEntry
    candidates: int
    is_trial: bool


class OpeningRate:
    """New flows of the last moments, each counting less as it ages."""

    def __init__(self):
        self._weight = 0.0
        self._updated_at_s = 0.0

    def add(self, now_s: float) -> None:
        self._weight = self.value(now_s) + 1.0
        self._updated_at_s = now_s

    def value(self, now_s: float) -> float:
        return self._weight * math.exp((self._updated_at_s - now_s) / BURST_DECAY_S)


class ServiceGroup:
    """The entries of a service, by whether they are in the host's own zone."""

    __slots__ = ("entries", "local", "local_slots", "remote")

    def __init__(self, entries: Sequence[DirectoryEntry], zone: ZoneId):
        self.entries = entries
        self.local = [entry for entry in entries if entry.upstream.zone == zone]
        self.remote = [entry for entry in entries if entry.upstream.zone != zone]
        self.local_slots = sum(entry.upstream.slots for entry in self.local)


def sample(
    entries: Sequence[DirectoryEntry], flow: FlowKey
) -> Sequence[DirectoryEntry]:
    """A part of many entries, which differs from flow to flow.

    The least loaded of some is nearly the least loaded of all, at a cost that does
    not grow with the service.
    """
    if len(entries) <= MAX_CANDIDATES:
        return entries
    start = xxh3_64_intdigest(flow) % len(entries)
    end = start + MAX_CANDIDATES
    return [*entries[start:end], *entries[: max(0, end - len(entries))]]


class FlowChooser(ABC):
    """Names the upstream of a new flow."""

    @abstractmethod
    def choose(
        self,
        entries: Sequence[DirectoryEntry],
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        """The best entry for a new flow; None if there is no entry at all.

        ``excluded`` names upstreams that this flow has tried. They are chosen only if
        nothing else is left.
        """


class UpstreamChooser(FlowChooser):
    """Chooses among the entries of a service.

    New flows stay in the host's zone, where no cut between zones reaches them, until
    a wave of them is more than the zone's upstreams can take.
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
        self._rates: dict[ServiceId, OpeningRate] = {}
        self._groups: dict[ServiceId, ServiceGroup] = {}

    def choose(
        self,
        entries: Sequence[DirectoryEntry],
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        # Tried ones and suspects are chosen if nothing else is left: one host's bad
        # path must not take a whole service away.
        if not entries:
            return None
        group = self._group(entries)
        sampled = [*sample(group.local, flow), *sample(group.remote, flow)]
        untried = [
            entry for entry in sampled if entry.upstream.upstream_id not in excluded
        ]
        pool = untried or sampled
        is_wave = self._is_wave(group, now_s)
        trial = self._due_trial(pool, excluded, is_wave, now_s)
        if trial is not None:
            return Choice(trial, len(pool), True)
        trusted = [entry for entry in pool if self._is_trusted(entry)] or pool
        trusted = self._without_ramping(trusted, flow, now_s) or trusted
        remote_weight = 1.0 if is_wave else self._remote_weight
        best = min(trusted, key=lambda entry: self._cost(entry, flow, remote_weight))
        return Choice(best, len(trusted), False)

    def _group(self, entries: Sequence[DirectoryEntry]) -> ServiceGroup:
        service = entries[0].upstream.service
        group = self._groups.get(service)
        # The directory makes a new list whenever an entry changes.
        if group is None or group.entries is not entries:
            group = self._groups[service] = ServiceGroup(entries, self._zone)
        return group

    def _is_wave(self, group: ServiceGroup, now_s: float) -> bool:
        """Count a new flow; True if there are more of them than the zone can take."""
        service = group.entries[0].upstream.service
        rate = self._rates.setdefault(service, OpeningRate())
        rate.add(now_s)
        limit = BURST_FLOWS_PER_SLOT * group.local_slots + BURST_FLOWS_BY_CHANCE
        return rate.value(now_s) > limit

    def _due_trial(
        self,
        pool: Sequence[DirectoryEntry],
        excluded: Collection[UpstreamId],
        is_wave: bool,
        now_s: float,
    ) -> DirectoryEntry | None:
        """A suspect that is due for one new flow.

        A flow that has lost time at one upstream already is no trial for another.
        """
        if excluded:
            return None
        has_local = any(entry.upstream.zone == self._zone for entry in pool)
        for entry in pool:
            health = self._of(entry)
            if health.state is not HealthState.SUSPECT or not health.is_trial_due(
                now_s
            ):
                continue
            is_needed = entry.upstream.zone == self._zone or not has_local
            # In a wave the other zones are needed too, once a cut may be over.
            if is_needed or (is_wave and health.is_suspicion_stale(now_s)):
                health.record_trial(now_s)
                return entry
        return None

    def _without_ramping(
        self, pool: Sequence[DirectoryEntry], flow: FlowKey, now_s: float
    ) -> list[DirectoryEntry]:
        """Leave out new, returned and slow upstreams, but for their share of the flows.

        They have the fewest open flows, and would get all new ones while they are
        still slow. A share lowers the chance of each host alone, so that the zone does
        not turn away from an upstream at one moment.
        """
        return [
            entry
            for entry in pool
            if self._draw(entry, flow) * len(pool) < self._ramp(entry, now_s)
        ]

    def _ramp(self, entry: DirectoryEntry, now_s: float) -> float:
        """The part of an even share that an upstream may take; infinite if usual."""
        share = self._shares.fraction_for(entry.tag, now_s)
        ramp = min(share, self._of(entry).slow_start_share(now_s))
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(ramp, COLD_SHARE)
        return ramp if ramp < 1.0 else math.inf

    def _draw(self, entry: DirectoryEntry, flow: FlowKey) -> float:
        return xxh3_64_intdigest(flow, seed=entry.tag) / _HASH_RANGE

    def _is_trusted(self, entry: DirectoryEntry) -> bool:
        return self._of(entry).state is HealthState.TRUSTED

    def _of(self, entry: DirectoryEntry) -> UpstreamHealth:
        return self._outliers.health_of(entry.upstream.upstream_id)

    def _cost(
        self,
        entry: DirectoryEntry,
        flow: FlowKey,
        remote_weight: float,
    ) -> tuple[float, float]:
        upstream = entry.upstream
        weight = float(upstream.slots)
        if upstream.zone != self._zone:
            weight *= remote_weight
        flows = self._flows.open_flows(upstream.upstream_id)
        return (flows + 1) / weight, self._draw(entry, flow)
