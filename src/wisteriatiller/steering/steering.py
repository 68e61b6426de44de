"""The decision about each packet of a client.

A packet with a tag goes to the tag's upstream, whatever else this host knows. An
opening packet goes to the upstream that the chooser names; its copies, which show
that no answer came, go to others.
"""

from abc import ABC, abstractmethod
from collections import deque

from wisteriatiller.ids import UpstreamId

from .choice import FlowChooser, UpstreamChooser
from .directory import DirectoryEntry, Presence, UpstreamChange, UpstreamDirectory
from .flowtable import Flow, FlowState, FlowTable, is_after
from .latencies import LatencyRecorder
from .outlierdetection import OutlierDetector
from .packets import (
    Decision,
    Discard,
    DiscardReason,
    Forward,
    Packet,
    PacketKind,
    RefusalReason,
    Refuse,
)
from .routes import ConfigView, Route
from .settings import SteeringSettings
from .slowupstreams import Shares
from .upstreams import NO_TAG, UpstreamState

# Clients repeat after 200 ms; packets that change places on the way are closer.
MIN_REPEAT_S = 0.15
# The packet that follows an answered opening takes one round trip, about 10 ms.
CONFIRM_S = 0.1
# An upstream that has answered somebody within this time is alive.
ALIVE_S = 3.0
# The wait before each repeat of a packet doubles; so many take more than a second.
LOST_REPEATS = 3
# Requests that most upstreams would have answered several times over.
ANSWER_DUE_S = 0.6


class SteeringObserver(ABC):
    """Learns what steering decides and believes, for logs and counters."""

    @abstractmethod
    def flow_opened(
        self, packet: Packet, route: Route, entry: DirectoryEntry, reason: str
    ) -> None: ...

    @abstractmethod
    def flow_answered(self, flow: Flow, waited_s: float) -> None: ...

    @abstractmethod
    def request_answered(self, flow: Flow, waited_s: float) -> None: ...

    @abstractmethod
    def refused(self, packet: Packet, refusal: Refuse) -> None: ...

    @abstractmethod
    def discarded(self, packet: Packet, discard: Discard) -> None: ...

    @abstractmethod
    def suspected(self, upstream_id: UpstreamId, flows: int) -> None: ...

    @abstractmethod
    def trusted(self, upstream_id: UpstreamId) -> None: ...

    @abstractmethod
    def tag_unknown(self) -> None:
        """A tag names no known upstream; a newer listing may have it."""


class FlowSteering:
    """Decides about packets from the directory, the configuration and evidence."""

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
        self.latencies = LatencyRecorder()
        self.shares = Shares()
        self.flows = FlowTable(settings.flow_idle_s)
        self._unconfirmed: deque[Flow] = deque()
        self._unanswered: deque[tuple[Flow, float]] = deque()
        self.chooser: FlowChooser = UpstreamChooser(
            settings.zone,
            settings.remote_weight,
            self.flows,
            self.outliers,
            self.shares,
        )

    def steer(self, packet: Packet, now_s: float) -> Decision:
        """Decide about one packet."""
        if packet.kind is PacketKind.OPENING:
            decision = self._open(packet, now_s)
        elif packet.kind is PacketKind.UPSTREAM_ONLY:
            decision = Discard(DiscardReason.FORGED)
        else:
            decision = self._continue(packet, now_s)
        if isinstance(decision, Refuse):
            self._observer.refused(packet, decision)
        elif isinstance(decision, Discard):
            self._observer.discarded(packet, decision)
        return decision

    def directory_changed(self, changes: list[UpstreamChange]) -> None:
        """Drop the evidence about upstreams that are gone."""
        for change in changes:
            if change.presence is Presence.GONE:
                self.outliers.reset(change.upstream.upstream_id)

    def _open(self, packet: Packet, now_s: float) -> Decision:
        self._check_unconfirmed(now_s)
        self._check_unanswered(now_s)
        route = self._config.route(packet.service_address)
        if route is None:
            return self._without_route(now_s)
        flow = self.flows.get(packet.flow, now_s)
        if flow is not None and not self._is_copy(flow, packet):
            flow = None
        if flow is not None and not self._is_unanswered(flow, now_s):
            return self._repeat_opening(flow)
        if flow is not None:
            self._complain(flow, now_s, is_opening=True)
        return self._place(packet, route, flow, now_s)

    def _check_unconfirmed(self, now_s: float) -> None:
        """Hold openings that no packet followed against their upstreams.

        A client that gets an answer goes on within a round trip. One that gets a
        reset from the upstream, which no host sees, never does.
        """
        while self._unconfirmed:
            flow = self._unconfirmed[0]
            if now_s - flow.sent_at_s < CONFIRM_S:
                return
            self._unconfirmed.popleft()
            if flow.state is FlowState.OPENING:
                self._complain(flow, now_s, is_opening=True)

    def _check_unanswered(self, now_s: float) -> None:
        """Hold requests without an answer against upstreams that answer nobody.

        Such an upstream goes on opening flows. Its clients leave them soon, so that it
        has the fewest and would get every new one.
        """
        while self._unanswered:
            flow, asked_at_s = self._unanswered[0]
            if now_s - asked_at_s < ANSWER_DUE_S:
                return
            self._unanswered.popleft()
            if flow.asked_at_s != asked_at_s:
                continue
            self.latencies.record_timeout(flow.upstream_id)
            if self.outliers.health_of(flow.upstream_id).record_missing_answer(
                asked_at_s, now_s
            ):
                self._observer.suspected(flow.upstream_id, 1)

    def _is_copy(self, flow: Flow, packet: Packet) -> bool:
        """Whether an opening packet belongs to a known flow, not to a new one."""
        return packet.copy > 0 or flow.sequence == packet.sequence

    def _is_unanswered(self, flow: Flow, now_s: float) -> bool:
        """Whether the packets before this copy have had time for an answer.

        Copies that waited together in this host's socket come at once. Sent to
        several upstreams, they would open the flow at one and go on at another.
        """
        is_opening = flow.state is FlowState.OPENING
        return is_opening and now_s - flow.sent_at_s >= MIN_REPEAT_S

    def _repeat_opening(self, flow: Flow) -> Decision:
        """Send a copy where the one before it went."""
        entry = self._directory.get(flow.upstream_id)
        if entry is None:
            return Discard(DiscardReason.NO_STATE)
        return Forward(entry.upstream, entry.tag)

    def _place(
        self, packet: Packet, route: Route, flow: Flow | None, now_s: float
    ) -> Decision:
        tried = () if flow is None else (*flow.tried, flow.upstream_id)
        choice = None
        for service in self._config.ranked_services(route, packet.flow):
            entries = self._directory.eligible_entries(service)
            choice = self.chooser.choose(entries, packet.flow, tried, now_s)
            if choice is not None:
                break
        if choice is None:
            return Refuse(RefusalReason.NO_UPSTREAM)
        upstream_id = choice.entry.upstream.upstream_id
        if flow is None:
            flow = self.flows.add(packet.flow, upstream_id, now_s)
        else:
            self.flows.move(flow, upstream_id)
            flow.tried = tried
        flow.sequence = packet.sequence
        flow.sent_at_s = now_s
        self._unconfirmed.append(flow)
        reason = "trial" if choice.is_trial else "copy" if packet.copy else "first"
        self._observer.flow_opened(packet, route, choice.entry, reason)
        return Forward(choice.entry.upstream, choice.entry.tag)

    def _without_route(self, now_s: float) -> Decision:
        age_s = self._config.age_s(now_s)
        if age_s is None or age_s > self.settings.config_bound_s:
            return Discard(DiscardReason.ROUTE_UNCERTAIN)
        return Refuse(RefusalReason.NO_ROUTE)

    def _continue(self, packet: Packet, now_s: float) -> Decision:
        if packet.tag == NO_TAG:
            return Discard(DiscardReason.UNTAGGED)
        entry = self._directory.by_tag(packet.tag)
        if entry is None:
            self._observer.tag_unknown()
            return Discard(DiscardReason.UNKNOWN_TAG)
        self._note(packet, entry, now_s)
        if entry.presence is Presence.GONE and self._is_over(packet, entry, now_s):
            self.flows.remove(packet.flow)
            if packet.kind is PacketKind.ABORTING:
                return Discard(DiscardReason.NO_STATE)
            return Refuse(RefusalReason.UPSTREAM_GONE)
        return Forward(entry.upstream, packet.tag)

    def _is_over(self, packet: Packet, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether a flow of a gone upstream gets no answer any more.

        An upstream that drained has ended. The entry of another one may have lapsed
        because the upstream does not reach the store; its flows go on until one of
        their packets is repeated.
        """
        if entry.upstream.state is UpstreamState.DRAINING:
            return True
        flow = self.flows.get(packet.flow, now_s)
        if flow is None:
            return False
        return flow.repeats >= (LOST_REPEATS if self._is_alive(entry, now_s) else 1)

    def _is_alive(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether an upstream has answered any flow lately, since its entry lapsed."""
        progress_s = self.outliers.health_of(
            entry.upstream.upstream_id
        ).last_progress_at_s
        return progress_s > max(entry.presence_since_s, now_s - ALIVE_S)

    def _note(self, packet: Packet, entry: DirectoryEntry, now_s: float) -> None:
        """Take what a packet of an open flow says about the flow and its upstream."""
        upstream_id = entry.upstream.upstream_id
        flow = self.flows.get(packet.flow, now_s)
        if flow is None:
            if packet.kind is not PacketKind.ESTABLISHED:
                return
            flow = self.flows.add(packet.flow, upstream_id, now_s)
            flow.state = FlowState.OPEN
            self._take_numbers(flow, packet, now_s)
        elif flow.state is FlowState.OPENING:
            self.flows.move(flow, upstream_id)
            flow.state = FlowState.OPEN
            self._observer.flow_answered(flow, now_s - flow.opened_at_s)
            self._take_numbers(flow, packet, now_s)
            self._note_request(flow, packet, now_s)
            self._progress(flow, now_s)
        else:
            self.flows.move(flow, upstream_id)
            self._compare(flow, packet, now_s)
        if packet.kind is PacketKind.ESTABLISHED:
            return
        if flow.asked_at_s is not None and now_s - flow.asked_at_s < ANSWER_DUE_S:
            # The client has left early, which is not the upstream's doing.
            flow.asked_at_s = None
        if packet.kind is PacketKind.ABORTING:
            self.flows.remove(packet.flow)
        else:
            self.flows.close(flow)

    def _compare(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if is_after(packet.acknowledged, flow.acknowledged):
            self._note_answer(flow, packet, now_s)
            self._take_numbers(flow, packet, now_s)
            self._note_request(flow, packet, now_s)
            self._progress(flow, now_s)
            return
        if not packet.payload_bytes:
            return
        if is_after(packet.sequence, flow.sequence):
            flow.sequence = packet.sequence
            flow.sent_at_s = now_s
            self._note_request(flow, packet, now_s)
        elif now_s - flow.sent_at_s >= MIN_REPEAT_S:
            flow.repeats += 1
            self._complain(flow, now_s, is_opening=False)

    def _take_numbers(self, flow: Flow, packet: Packet, now_s: float) -> None:
        flow.acknowledged = packet.acknowledged
        flow.sequence = packet.sequence
        flow.sent_at_s = now_s
        flow.repeats = 0

    def _note_request(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if packet.payload_bytes and flow.asked_at_s is None:
            self._check_unanswered(now_s)
            flow.asked_at_s = now_s
            self._unanswered.append((flow, now_s))

    def _note_answer(self, flow: Flow, packet: Packet, now_s: float) -> None:
        """Take a moving acknowledgement as the answer to the flow's request."""
        asked_at_s, flow.asked_at_s = flow.asked_at_s, None
        if asked_at_s is None:
            return
        health = self.outliers.health_of(flow.upstream_id)
        if health.record_answer(now_s):
            self._observer.trusted(flow.upstream_id)
        # The next request may have waited for the client's user.
        if not packet.payload_bytes:
            health.record_response_time(now_s - asked_at_s)
            self.latencies.record_answer(flow.upstream_id, now_s - asked_at_s)
            self._observer.request_answered(flow, now_s - asked_at_s)

    def _progress(self, flow: Flow, now_s: float) -> None:
        if self.outliers.health_of(flow.upstream_id).record_progress(now_s):
            self._observer.trusted(flow.upstream_id)

    def _complain(self, flow: Flow, now_s: float, is_opening: bool) -> None:
        if is_opening:
            self.latencies.record_timeout(flow.upstream_id)
        health = self.outliers.health_of(flow.upstream_id)
        if health.record_retransmission(flow.key, flow.sent_at_s, now_s, is_opening):
            self._observer.suspected(flow.upstream_id, health.retransmitting_flows())
