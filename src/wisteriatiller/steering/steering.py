"""Decides for each client packet: forward it, reset the flow or drop it.

A tagged packet goes to the upstream that its tag names, so no flow state is needed. An
opening packet goes to the upstream that the selector picks. A retransmitted opening
packet means that no answer reached the client, so it goes to another upstream.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence

from wisteriatiller.ids import ServiceId, UpstreamId

from .directory import DirectoryEntry, Presence, UpstreamChange, UpstreamDirectory
from .evidence import (
    FindingsView,
    FlowLossDetector,
    OutlierDetector,
    SilentVerdicts,
    UpstreamRecorder,
)
from .flowresets import FlowResets
from .flowtable import Flow, FlowState, FlowTable, is_sequence_after
from .packets import (
    Decision,
    Discard,
    DiscardReason,
    FlowReset,
    Forward,
    Packet,
    PacketKind,
    RefusalReason,
    Refuse,
)
from .routes import ConfigView, Route
from .selection import (
    AdmissionObserver,
    AdmissionPolicy,
    LeastFlowsSelector,
    Selection,
    UpstreamSelector,
    WarmupLimit,
)
from .settings import SteeringSettings
from .upstreams import NO_TAG

# Clients retransmit after 200 ms; packets that were reordered on the way come closer
# together.
MIN_RETRANSMIT_INTERVAL_S = 0.15
# The client's next packet follows an answered opening within one round trip of about
# 10 ms.
HANDSHAKE_CONFIRM_TIMEOUT_S = 0.1
# Several times the response time of most upstreams.
REQUEST_TIMEOUT_S = 0.6


class SteeringObserver(AdmissionObserver, ABC):
    """Receives decisions and changes of upstream verdicts, for logs and counters."""

    @abstractmethod
    def flow_placed(
        self, packet: Packet, route: Route, entry: DirectoryEntry, reason: str
    ) -> None: ...

    @abstractmethod
    def flow_established(self, flow: Flow, waited_s: float) -> None: ...

    @abstractmethod
    def request_answered(self, flow: Flow, waited_s: float) -> None: ...

    @abstractmethod
    def packet_refused(self, packet: Packet, refusal: Refuse) -> None: ...

    @abstractmethod
    def flow_reset(self, reset: FlowReset) -> None:
        """Called for a reset that no packet of the client has called for."""

    @abstractmethod
    def packet_discarded(self, packet: Packet, discard: Discard) -> None: ...

    @abstractmethod
    def upstream_suspected(self, upstream_id: UpstreamId, flows: int) -> None: ...

    @abstractmethod
    def upstream_trusted(self, upstream_id: UpstreamId) -> None: ...

    @abstractmethod
    def unknown_tag_received(self) -> None:
        """Called for a tag of no known upstream; a newer listing may contain it."""


class FlowSteering:
    """Steers packets by the directory, the configuration and upstream health.

    Also keeps the flow table and records the health of upstreams from the packets
    that pass.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        directory: UpstreamDirectory,
        config: ConfigView,
        observer: SteeringObserver,
    ):
        self.settings = settings
        self._directory = directory
        self._config = config
        self._observer = observer
        self.outliers = OutlierDetector()
        self.recorder = UpstreamRecorder(settings.uses_zone_findings)
        self.findings = FindingsView()
        self.flows = FlowTable(settings.flow_idle_s)
        self._losses = FlowLossDetector(self.flows, self.outliers)
        self._resets = FlowResets(
            self.flows,
            directory,
            config,
            SilentVerdicts(self.findings, self.outliers),
            self.outliers,
        )
        self._unconfirmed_openings: deque[Flow] = deque()
        self._unanswered_requests: deque[tuple[Flow, float]] = deque()
        self.warmup_limit = WarmupLimit(settings, config, self.findings)
        self.selector: UpstreamSelector = LeastFlowsSelector(
            settings,
            config,
            self.flows,
            self.outliers,
            self.findings,
            self.warmup_limit,
        )
        self.admission: AdmissionPolicy | None = None
        if settings.refuses_on_overload:
            self.admission = AdmissionPolicy(
                config, self.outliers, self.findings, observer
            )

    def steer(self, packet: Packet, now_s: float) -> Decision:
        """Return the decision for one packet; update flow state and upstream health."""
        if packet.kind is PacketKind.OPENING:
            decision = self._steer_opening(packet, now_s)
        elif packet.kind is PacketKind.UPSTREAM_ONLY:
            decision = Discard(DiscardReason.FORGED)
        else:
            decision = self._steer_by_tag(packet, now_s)
        if isinstance(decision, Refuse):
            self._observer.packet_refused(packet, decision)
        elif isinstance(decision, Discard):
            self._observer.packet_discarded(packet, decision)
        return decision

    def take_resets(self, now_s: float) -> list[FlowReset]:
        """Return the next resets of flows of silent upstreams, which have to be sent.

        Called at intervals, since the number of resets at once is limited.
        """
        resets = self._resets.take_due(now_s)
        for reset in resets:
            self._observer.flow_reset(reset)
        return resets

    def apply_directory_changes(self, changes: list[UpstreamChange]) -> None:
        """Discard the health of upstreams that are gone."""
        for change in changes:
            if change.presence is Presence.GONE:
                self.outliers.reset(change.upstream.upstream_id)
                self.recorder.forget(change.upstream.upstream_id)

    def _steer_opening(self, packet: Packet, now_s: float) -> Decision:
        self._report_unconfirmed_openings(now_s)
        self._report_unanswered_requests(now_s)
        route = self._config.route(packet.service_address)
        if route is None:
            return self._reject_without_route(now_s)
        flow = self._flow_of_opening(packet, now_s)
        if flow is not None and not self._has_opening_timed_out(flow, now_s):
            return self._forward_to_same_upstream(flow, route, now_s)
        if flow is not None:
            self._record_missing_answer(flow, now_s, is_opening=True)
        return self._place_flow(packet, route, flow, now_s)

    def _flow_of_opening(self, packet: Packet, now_s: float) -> Flow | None:
        """The flow whose opening packet is repeated; None if a new flow begins.

        A former flow with the same key is over then, and is forgotten.
        """
        flow = self.flows.get(packet.flow, now_s)
        if flow is None or flow.is_opened_by(packet, now_s):
            return flow
        self.flows.remove(packet.flow)
        return None

    def _report_unconfirmed_openings(self, now_s: float) -> None:
        """Record openings that the client did not follow up as upstream failures.

        A client whose opening is answered sends its next packet within a round trip.
        A client that the upstream resets sends none, and the reset itself bypasses
        the hosts.
        """
        while self._unconfirmed_openings:
            flow = self._unconfirmed_openings[0]
            if now_s - flow.sent_at_s < HANDSHAKE_CONFIRM_TIMEOUT_S:
                return
            self._unconfirmed_openings.popleft()
            if flow.state is FlowState.OPENING:
                self._record_missing_answer(flow, now_s, is_opening=True)

    def _report_unanswered_requests(self, now_s: float) -> None:
        """Suspect upstreams that answered nothing since a request that timed out.

        A hung upstream may still accept flows. Its clients soon abandon them, so it
        would have the fewest open flows and attract every new one.
        """
        while self._unanswered_requests:
            flow, asked_at_s = self._unanswered_requests[0]
            if now_s - asked_at_s < REQUEST_TIMEOUT_S:
                return
            self._unanswered_requests.popleft()
            if flow.asked_at_s != asked_at_s:
                continue
            self.recorder.record_timeout(flow.upstream_id)
            if self.outliers.health_of(flow.upstream_id).record_missing_answer(
                asked_at_s, now_s
            ):
                self._observer.upstream_suspected(flow.upstream_id, 1)

    def _has_opening_timed_out(self, flow: Flow, now_s: float) -> bool:
        """Whether the flow is unopened although its last packet had time for an answer.

        Retransmissions that queued up in this host's socket are read back to back. If
        they went to several upstreams, the flow would open at one of them and
        continue at another.
        """
        is_opening = flow.state is FlowState.OPENING
        return is_opening and now_s - flow.sent_at_s >= MIN_RETRANSMIT_INTERVAL_S

    def _forward_to_same_upstream(
        self, flow: Flow, route: Route, now_s: float
    ) -> Decision:
        """Forward a repeated opening packet to the upstream of the previous one.

        That one may have opened the flow, so the packet goes nowhere else. It may also
        be the first one to arrive, so it is dropped if its upstream takes no new flows
        of the route any more.
        """
        entry = self._directory.get(flow.upstream_id)
        if entry is None:
            return Discard(DiscardReason.NO_STATE)
        if self._directory.is_evacuated(entry):
            return Discard(DiscardReason.ZONE_EVACUATED)
        services = self._config.ranked_services(route, flow.key)
        if entry.upstream.service not in services or not entry.takes_new_flows():
            return Discard(DiscardReason.UPSTREAM_INELIGIBLE)
        # The previous packet may still be answered, so the flow is not refused.
        if not self.warmup_limit.allows(entry, now_s):
            return Discard(DiscardReason.WARMUP_LIMIT)
        self.warmup_limit.record(entry, now_s)
        return Forward(entry.upstream, entry.tag)

    def _place_flow(
        self, packet: Packet, route: Route, flow: Flow | None, now_s: float
    ) -> Decision:
        """Forward an opening packet to a selected upstream.

        ``flow`` is the flow whose previous opening packets got no answer, if any.
        """
        tried = () if flow is None else (*flow.tried, flow.upstream_id)
        selection = None
        overload = None
        services = self._config.ranked_services(route, packet.flow)
        for service in services:
            entries = self._directory.eligible_entries(service)
            # What has been forwarded before is never refused for overload.
            if flow is None and self.admission is not None:
                found = self.admission.overload_of(packet, route, entries, now_s)
                overload = found or overload
                if found is not None:
                    continue
            selection = self.selector.select(entries, packet.flow, tried, now_s)
            if selection is not None:
                break
        if selection is None and overload is not None:
            return self.admission.refuse(packet, overload, now_s)
        if selection is None:
            return self._reject_without_upstream(services, flow)
        self.warmup_limit.record(selection.entry, now_s)
        upstream_id = selection.entry.upstream.upstream_id
        if flow is None:
            flow = self.flows.add(packet, upstream_id, now_s)
        else:
            self.flows.reassign(flow, upstream_id)
            flow.tried = tried
        flow.opening_sequence = packet.sequence
        flow.sent_at_s = now_s
        self._unconfirmed_openings.append(flow)
        self.recorder.record_opening(upstream_id)
        reason = _placement_reason(selection, packet)
        self._observer.flow_placed(packet, route, selection.entry, reason)
        return Forward(selection.entry.upstream, selection.entry.tag)

    def _reject_without_upstream(
        self, services: Sequence[ServiceId], flow: Flow | None
    ) -> Decision:
        """Refuse a flow, unless an earlier packet may have opened it elsewhere.

        A reset would end such a flow, whose zone has been evacuated since, or whose
        repeated packet exceeds the limits of cold upstreams.
        """
        if any(map(self._directory.eligible_entries, services)):
            if flow is not None:
                return Discard(DiscardReason.WARMUP_LIMIT)
            return Refuse(RefusalReason.OVERLOADED)
        if not any(map(self._directory.has_evacuated_upstreams, services)):
            return Refuse(RefusalReason.NO_UPSTREAM)
        entry = None if flow is None else self._directory.get(flow.upstream_id)
        if entry is not None and self._directory.is_evacuated(entry):
            return Discard(DiscardReason.ZONE_EVACUATED)
        return Refuse(RefusalReason.ZONE_EVACUATED)

    def _reject_without_route(self, now_s: float) -> Decision:
        """Refuse a flow, unless an outdated configuration may lack its route."""
        age_s = self._config.age_s(now_s)
        if age_s is None or age_s > self.settings.config_bound_s:
            return Discard(DiscardReason.ROUTE_UNCERTAIN)
        return Refuse(RefusalReason.NO_ROUTE)

    def _steer_by_tag(self, packet: Packet, now_s: float) -> Decision:
        if packet.tag == NO_TAG:
            return Discard(DiscardReason.UNTAGGED)
        entry = self._directory.by_tag(packet.tag)
        if entry is None:
            self._observer.unknown_tag_received()
            return Discard(DiscardReason.UNKNOWN_TAG)
        silence = self._resets.evidence_to_refuse(packet, entry, now_s)
        if silence is not None:
            return Refuse(RefusalReason.UPSTREAM_SILENT, silence)
        self._update_flow(packet, entry, now_s)
        evidence = self._losses.evidence_against(packet, entry, now_s)
        if evidence is not None:
            self.flows.remove(packet.flow)
            if packet.kind is PacketKind.ABORTING:
                return Discard(DiscardReason.NO_STATE)
            return Refuse(RefusalReason.UPSTREAM_GONE, evidence)
        return Forward(entry.upstream, packet.tag)

    def _update_flow(self, packet: Packet, entry: DirectoryEntry, now_s: float) -> None:
        """Update the flow table and upstream health from a tagged packet."""
        upstream_id = entry.upstream.upstream_id
        flow = self.flows.get(packet.flow, now_s)
        if flow is None or not flow.includes(packet):
            if packet.kind is not PacketKind.ESTABLISHED:
                return
            flow = self.flows.add(packet, upstream_id, now_s)
            flow.state = FlowState.OPEN
            self._store_sequence_numbers(flow, packet, now_s)
        elif flow.state is FlowState.OPENING:
            self.flows.reassign(flow, upstream_id)
            flow.state = FlowState.OPEN
            self._observer.flow_established(flow, now_s - flow.opened_at_s)
            self._store_sequence_numbers(flow, packet, now_s)
            self._record_request(flow, packet, now_s)
            self._record_progress(flow, now_s)
        else:
            self.flows.reassign(flow, upstream_id)
            self._update_open_flow(flow, packet, now_s)
        if packet.kind is PacketKind.ESTABLISHED:
            return
        if flow.asked_at_s is not None and now_s - flow.asked_at_s < REQUEST_TIMEOUT_S:
            # The client gave up before the timeout, which is not the upstream's fault.
            flow.asked_at_s = None
        if packet.kind is PacketKind.ABORTING:
            self.flows.remove(packet.flow)
        else:
            self.flows.mark_closing(flow)

    def _update_open_flow(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if is_sequence_after(packet.acknowledged, flow.acknowledged):
            self._record_answer(flow, packet, now_s)
            self._store_sequence_numbers(flow, packet, now_s)
            self._record_request(flow, packet, now_s)
            self._record_progress(flow, now_s)
            return
        if not packet.payload_bytes:
            return
        if self._has_new_data(flow, packet):
            flow.next_sequence = packet.end_sequence
            flow.sent_at_s = now_s
            flow.stalled_repeats = 0
            self._record_request(flow, packet, now_s)
        elif now_s - flow.sent_at_s >= MIN_RETRANSMIT_INTERVAL_S:
            flow.repeats += 1
            flow.stalled_repeats += 1
            self._record_missing_answer(flow, now_s, is_opening=False)

    def _has_new_data(self, flow: Flow, packet: Packet) -> bool:
        """Whether a packet holds data that no packet of the flow held before.

        The sequence number alone does not tell: a packet that only acknowledges has
        that of the next request.
        """
        return is_sequence_after(packet.end_sequence, flow.next_sequence)

    def _store_sequence_numbers(self, flow: Flow, packet: Packet, now_s: float) -> None:
        flow.acknowledged = packet.acknowledged
        if flow.next_sequence is None or self._has_new_data(flow, packet):
            flow.next_sequence = packet.end_sequence
        flow.sent_at_s = now_s
        flow.repeats = 0
        flow.stalled_repeats = 0

    def _record_request(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if packet.payload_bytes and flow.asked_at_s is None:
            self._report_unanswered_requests(now_s)
            flow.asked_at_s = now_s
            self._unanswered_requests.append((flow, now_s))
            self.recorder.record_request(flow)

    def _record_answer(self, flow: Flow, packet: Packet, now_s: float) -> None:
        """Treat an advancing acknowledgement as the answer to the pending request."""
        asked_at_s, flow.asked_at_s = flow.asked_at_s, None
        if asked_at_s is None:
            return
        health = self.outliers.health_of(flow.upstream_id)
        if health.record_answer(now_s):
            self._observer.upstream_trusted(flow.upstream_id)
        # A payload is the next request, which may have waited for the client's user, so
        # its time is not the response time.
        if not packet.payload_bytes:
            health.record_response_time(now_s - asked_at_s)
            self.recorder.record_answer(flow.upstream_id, now_s - asked_at_s)
            self._observer.request_answered(flow, now_s - asked_at_s)

    def _record_progress(self, flow: Flow, now_s: float) -> None:
        self.recorder.record_progress(flow.upstream_id, now_s)
        if self.outliers.health_of(flow.upstream_id).record_progress(now_s):
            self._observer.upstream_trusted(flow.upstream_id)

    def _record_missing_answer(
        self, flow: Flow, now_s: float, is_opening: bool
    ) -> None:
        if is_opening:
            self.recorder.record_timeout(flow.upstream_id)
            self.recorder.record_failed_opening(flow.upstream_id)
        health = self.outliers.health_of(flow.upstream_id)
        if health.record_retransmission(flow.key, flow.sent_at_s, now_s, is_opening):
            self._observer.upstream_suspected(
                flow.upstream_id, health.retransmitting_flows()
            )


def _placement_reason(selection: Selection, packet: Packet) -> str:
    """Why an opening packet is sent to an upstream, for logs and counters."""
    if selection.is_silent_trial:
        return "silent_trial"
    if selection.is_trial:
        return "trial"
    if packet.retransmit_count:
        return "copy"
    return "overflow" if selection.is_overflow else "first"
