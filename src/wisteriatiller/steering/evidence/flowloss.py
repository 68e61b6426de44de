"""Decides when a flow is lost whose upstream is no longer listed.

An upstream that drained, and whose entry a healthy store then removed, has ended. Any
other missing entry may have expired because its upstream cannot reach the store, or be
missing from a restored store, so that its flows continue until retransmissions show
that it does not answer.
"""

from ..directory import DirectoryEntry, Presence
from ..flowtable import FlowTable
from ..packets import LossEvidence, Packet
from .outlierdetection import SUSPECT_FLOWS, OutlierDetector, UpstreamHealth

# An upstream counts as alive if any of its flows has progressed within this time.
LIVENESS_WINDOW_S = 3.0
# Retransmissions after which a flow is lost, if its upstream is gone from the directory
# but alive. Clients double the wait before each, so this many take more than a second.
LOST_AFTER_RETRANSMITS = 3
# The same for a flow that is the only sign of its upstream: one packet may be lost.
LOST_AFTER_RETRANSMITS_ALONE = 2


class FlowLossDetector:
    """Judges flows by their own retransmissions and the health of their upstreams."""

    def __init__(self, flows: FlowTable, outliers: OutlierDetector):
        self._flows = flows
        self._outliers = outliers

    def evidence_against(
        self, packet: Packet, entry: DirectoryEntry, now_s: float
    ) -> LossEvidence | None:
        """Return why the flow of a packet is lost; None if it may be answered."""
        if entry.presence is not Presence.GONE:
            return None
        flow = self._flows.peek_flow_of(packet)
        health = self._outliers.health_of(entry.upstream.upstream_id)
        evidence = LossEvidence(
            entry.upstream.upstream_id,
            has_left=entry.has_left,
            missing_s=now_s - entry.presence_since_s,
            repeats=0 if flow is None else flow.repeats,
            silent_s=now_s - health.last_progress_at_s,
        )
        is_unanswered = evidence.repeats >= _repeats_of_loss(evidence, health)
        return evidence if evidence.has_left or is_unanswered else None


def _repeats_of_loss(evidence: LossEvidence, health: UpstreamHealth) -> int:
    """How many retransmissions show that the upstream no longer answers a flow."""
    # Progress counts if it is recent and came after the entry expired.
    if evidence.silent_s < min(LIVENESS_WINDOW_S, evidence.missing_s):
        return LOST_AFTER_RETRANSMITS
    is_confirmed = health.retransmitting_flows() >= SUSPECT_FLOWS
    return 1 if is_confirmed else LOST_AFTER_RETRANSMITS_ALONE
