"""The choice of an upstream for a new flow.

Each host places its flows by weighted least flows: an upstream's own open flows over
its slots. The hosts' counts add up, so that the sum over all hosts is nearly even
without a message between them. Equal upstreams are told apart by a hash of the flow,
or else all hosts would begin with the same one.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from wisteriatiller.ids import FlowKey, UpstreamId, ZoneId

from .directory import DirectoryEntry
from .evidence import Evidence, UpstreamEvidence, Verdict
from .flowtable import FlowTable

# A cold upstream works about this much slower than a warm one.
COLD_WEIGHT = 0.6


class Choice(NamedTuple):
    """The chosen entry, and how many entries stood for choice."""

    entry: DirectoryEntry
    candidates: int
    is_trial: bool


class UpstreamChooser:
    """Chooses among the entries of a service."""

    def __init__(
        self,
        zone: ZoneId,
        remote_weight: float,
        flows: FlowTable,
        evidence: Evidence,
    ):
        self._zone = zone
        self._remote_weight = remote_weight
        self._flows = flows
        self._evidence = evidence

    def choose(
        self,
        entries: Sequence[DirectoryEntry],
        flow: FlowKey,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        """The best entry for a new flow; None if there is no entry at all.

        ``excluded`` names upstreams that this flow has tried. They, and suspects,
        are chosen only if nothing else is left: one host's bad path must not take a
        whole service away.
        """
        untried = [
            entry for entry in entries if entry.upstream.upstream_id not in excluded
        ]
        pool = untried or list(entries)
        if not pool:
            return None
        trial = self._due_trial(pool, excluded, now_s)
        if trial is not None:
            return Choice(trial, len(pool), True)
        trusted = [entry for entry in pool if self._is_trusted(entry)] or pool
        best = min(trusted, key=lambda entry: self._cost(entry, flow, now_s))
        return Choice(best, len(trusted), False)

    def _due_trial(
        self,
        pool: Sequence[DirectoryEntry],
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> DirectoryEntry | None:
        """A suspect that is due for one new flow.

        A flow that has lost time at one upstream already is no trial for another.
        """
        if excluded:
            return None
        for entry in pool:
            evidence = self._of(entry)
            if evidence.verdict is Verdict.SUSPECT and evidence.is_due(now_s):
                evidence.note_trial(now_s)
                return entry
        return None

    def _is_trusted(self, entry: DirectoryEntry) -> bool:
        return self._of(entry).verdict is Verdict.TRUSTED

    def _of(self, entry: DirectoryEntry) -> UpstreamEvidence:
        return self._evidence.of(entry.upstream.upstream_id)

    def _cost(
        self, entry: DirectoryEntry, flow: FlowKey, now_s: float
    ) -> tuple[float, int]:
        upstream = entry.upstream
        weight = upstream.slots * self._of(entry).weight(now_s)
        if upstream.zone != self._zone:
            weight *= self._remote_weight
        listed_ms = 1000.0 * (now_s - entry.since_s)
        if upstream.warmup_left_ms > listed_ms:
            weight *= COLD_WEIGHT
        flows = self._flows.open_flows(upstream.upstream_id)
        return (flows + 1) / weight, xxh3_64_intdigest(flow, seed=entry.tag)
