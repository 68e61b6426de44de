"""Decides which flows of silent upstreams are reset, and which packets are refused.

A flow is reset only if the client may repeat its request. A request whose packet was
not forwarded has not run; one that is pending may have.
"""

from collections import deque

from wisteriatiller.ids import FlowKey, UpstreamId

from .directory import DirectoryEntry, UpstreamDirectory
from .evidence import SilentUpstream, SilentVerdicts
from .evidence.outlierdetection import OutlierDetector
from .flowtable import Flow, FlowState, FlowTable, is_sequence_after
from .packets import FlowReset, Packet, PacketKind, SilenceEvidence, service_address_of
from .routes import ConfigView, RequestKind

# Limits the resets that are sent without a packet of the client in one step.
MAX_RESETS_PER_STEP = 200


class FlowResets:
    """Resets flows of silent upstreams, step by step and when their clients send."""

    def __init__(
        self,
        flows: FlowTable,
        directory: UpstreamDirectory,
        config: ConfigView,
        verdicts: SilentVerdicts,
        outliers: OutlierDetector,
    ):
        self._flows = flows
        self._directory = directory
        self._config = config
        self._verdicts = verdicts
        self._outliers = outliers
        # Upstreams whose flows are queued or reset already.
        self._handled: frozenset[UpstreamId] = frozenset()
        self._queue: deque[FlowKey] = deque()

    def take_due(self, now_s: float) -> list[FlowReset]:
        """Return the next resets to send; each is checked again at this moment.

        The remaining ones of an upstream are dropped once its verdict has ended.
        """
        self._queue_flows(now_s)
        resets = []
        while self._queue and len(resets) < MAX_RESETS_PER_STEP:
            flow = self._flows.peek(self._queue.popleft())
            evidence = None if flow is None else self._evidence_to_reset(flow, now_s)
            if evidence is not None:
                self._flows.mark_closing(flow)
                resets.append(FlowReset(flow.key, flow.acknowledged, evidence))
        return resets

    def evidence_to_refuse(
        self, packet: Packet, entry: DirectoryEntry, now_s: float
    ) -> SilenceEvidence | None:
        """Return why a packet is answered by a reset; None if it is not.

        Only data calls for one: the beginning of a request, or a repeat of one that the
        client may send to another upstream. Without the flow's former packets it is
        unknown whether a packet is new, or shows progress.
        """
        if packet.kind is not PacketKind.ESTABLISHED or not packet.payload_bytes:
            return None
        verdict = self._verdicts.verdict_on(entry, now_s)
        flow = None if verdict is None else self._flows.peek_flow_of(packet)
        kind = None if flow is None else self._kind_of(flow)
        if kind is None or flow.state is FlowState.OPENING:
            return None
        if is_sequence_after(packet.acknowledged, flow.acknowledged):
            return None
        is_new = (
            _is_known_since_opening(flow)
            and flow.asked_at_s is None
            and is_sequence_after(packet.end_sequence, flow.next_sequence)
        )
        if not is_new and not kind.is_idempotent:
            return None
        self._flows.mark_closing(flow)
        return self._evidence(flow, verdict, now_s)

    def _queue_flows(self, now_s: float) -> None:
        """Queue the flows of upstreams that are newly silent."""
        silent = frozenset(self._silent_upstreams(now_s))
        new = silent - self._handled
        self._handled = silent
        if new:
            self._queue.extend(flow.key for flow in self._flows.flows_of(new))

    def _silent_upstreams(self, now_s: float) -> list[UpstreamId]:
        entries = map(self._directory.by_tag, self._verdicts.tags(now_s))
        return [
            entry.upstream.upstream_id
            for entry in entries
            if entry is not None and self._verdicts.verdict_on(entry, now_s) is not None
        ]

    def _evidence_to_reset(self, flow: Flow, now_s: float) -> SilenceEvidence | None:
        """Return why a flow is reset without a packet of it; None if it is not."""
        entry = self._directory.get(flow.upstream_id)
        verdict = None if entry is None else self._verdicts.verdict_on(entry, now_s)
        kind = self._kind_of(flow)
        if verdict is None or kind is None or flow.state is not FlowState.OPEN:
            return None
        is_pending = flow.asked_at_s is not None
        is_safe = kind.is_idempotent or not is_pending
        is_in_use = self._is_in_use(flow, now_s)
        if not is_safe or not is_in_use or not _is_known_since_opening(flow):
            return None
        return self._evidence(flow, verdict, now_s)

    def _is_in_use(self, flow: Flow, now_s: float) -> bool:
        """Whether the flow's idle timeout in the configuration has not passed."""
        idle_timeout_s = self._config.config.idle_timeout_ms / 1000.0
        return now_s - flow.last_seen_s <= idle_timeout_s

    def _kind_of(self, flow: Flow) -> RequestKind | None:
        route = self._config.route(service_address_of(flow.key))
        return None if route is None else route.kind

    def _evidence(
        self, flow: Flow, verdict: SilentUpstream, now_s: float
    ) -> SilenceEvidence:
        health = self._outliers.health_of(flow.upstream_id)
        asked_at_s = flow.asked_at_s
        return SilenceEvidence(
            upstream_id=flow.upstream_id,
            started_ms=verdict.started_ms,
            silent_s=verdict.silent_ms / 1000.0,
            own_silent_s=now_s - health.last_progress_at_s,
            pending_s=None if asked_at_s is None else now_s - asked_at_s,
        )


def _is_known_since_opening(flow: Flow) -> bool:
    """Whether this host has seen the flow open.

    It does not know whether a flow that another host has opened has a pending request.
    """
    return flow.opening_sequence is not None and flow.next_sequence is not None
