"""The flow table: state of the flows whose packets this host has seen.

It serves load balancing and health checks only. A host without state for a flow,
because it has just started or the routers have rerouted the flow to it, steers the
packets by their tags.
"""

from collections import OrderedDict
from collections.abc import Collection
from enum import Enum

from wisteriatiller.ids import FlowKey, UpstreamId

from .packets import SEQUENCE_RANGE, Packet

MAX_FLOWS = 100_000
# A client gives up a flow that has not opened for 1.4 s. The rest covers packets that
# wait on the way or in a socket buffer.
MAX_OPENING_S = 2.5
# What a client may have sent on a flow before a delayed copy of its opening packet
# arrives: 16 packets of 1,200 bytes in flight, four times.
MAX_EARLY_BYTES = 76_800
# Neither end sends more on a flow while only other hosts steer it. The numbers of both
# ends begin at random, so that a later flow with the same key is hardly as near.
MAX_UNSEEN_BYTES = 1 << 22
_HALF_RANGE = SEQUENCE_RANGE // 2


class FlowState(Enum):
    """The lifecycle of a flow; a closing one no longer counts as open."""

    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"


class Flow:
    """The state of one flow.

    ``opening_sequence`` is that of its opening packets; None if another host steered
    them. ``first_sequence`` is that of the first packet seen. ``next_sequence`` is the
    sequence number after all data that the client has sent, the newest of it at
    ``sent_at_s``; None until the flow is open. ``repeats`` counts
    retransmissions since the client last acknowledged new data, and
    ``stalled_repeats`` those since the client last sent or acknowledged new data.
    ``tried`` holds the upstreams that left an opening packet unanswered.
    """

    __slots__ = (
        "acknowledged",
        "asked_at_s",
        "first_sequence",
        "key",
        "last_seen_s",
        "next_sequence",
        "opened_at_s",
        "opening_sequence",
        "repeats",
        "sent_at_s",
        "stalled_repeats",
        "state",
        "tried",
        "upstream_id",
    )

    def __init__(
        self, key: FlowKey, upstream_id: UpstreamId, first_sequence: int, now_s: float
    ):
        self.key = key
        self.first_sequence = first_sequence
        self.upstream_id = upstream_id
        self.state = FlowState.OPENING
        self.opened_at_s = now_s
        self.last_seen_s = now_s
        self.tried: tuple[UpstreamId, ...] = ()
        self.opening_sequence: int | None = None
        self.next_sequence: int | None = None
        self.sent_at_s = now_s
        self.acknowledged = 0
        self.repeats = 0
        self.stalled_repeats = 0
        # Send time of the request that is still unanswered, if any.
        self.asked_at_s: float | None = None

    def is_opened_by(self, packet: Packet, now_s: float) -> bool:
        """Whether an opening packet repeats that of this flow.

        If not, its client uses the port of this flow for a later one. Copies are told
        by their sequence number: a first packet may be lost, so that a copy is the
        first one of its flow that is seen. A flow that has closed, or has not opened in
        time, has no more copies.
        """
        is_awaited = now_s - self.opened_at_s <= MAX_OPENING_S
        if not is_awaited and self.state is not FlowState.OPEN:
            return False
        if self.opening_sequence is not None:
            return packet.sequence == self.opening_sequence
        early_bytes = (self.first_sequence - packet.sequence) % SEQUENCE_RANGE
        return early_bytes <= MAX_EARLY_BYTES

    def includes(self, packet: Packet) -> bool:
        """Whether a packet that follows an opening belongs to this flow.

        If not, another host has opened a later flow with the same key.
        """
        if self.next_sequence is None:
            return _is_near(packet.sequence, self.first_sequence)
        is_acknowledgement_near = _is_near(packet.acknowledged, self.acknowledged)
        return _is_near(packet.sequence, self.next_sequence) and is_acknowledgement_near

    def has_pending_request(self, now_s: float, max_age_s: float) -> bool:
        """Whether a request that is not older than ``max_age_s`` has no answer yet."""
        is_asking = self.state is FlowState.OPEN and self.asked_at_s is not None
        return is_asking and now_s - self.asked_at_s <= max_age_s


def is_sequence_after(number: int, other: int) -> bool:
    """Whether a sequence number comes after another, modulo 2**32.

    >>> is_sequence_after(5, 4294967290)
    True
    """
    return 0 < (number - other) % SEQUENCE_RANGE < _HALF_RANGE


def _is_near(number: int, other: int) -> bool:
    """Whether two sequence numbers may be of one end of one flow."""
    distance = (number - other) % SEQUENCE_RANGE
    return min(distance, SEQUENCE_RANGE - distance) <= MAX_UNSEEN_BYTES


class FlowTable:
    """Flows in LRU order, with a count of open flows per upstream.

    Beyond ``max_flows`` the least recently used flow is evicted.
    """

    def __init__(self, idle_timeout_s: float, max_flows: int = MAX_FLOWS):
        self.idle_timeout_s = idle_timeout_s
        self._max_flows = max_flows
        self._flows: OrderedDict[FlowKey, Flow] = OrderedDict()
        self._open_flow_counts: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey, now_s: float) -> Flow | None:
        """Return a flow, if it is known, and mark it as most recently used."""
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_seen_s = now_s
            self._flows.move_to_end(key)
        return flow

    def peek(self, key: FlowKey) -> Flow | None:
        """Return a flow, if it is known, without a change of its order or age."""
        return self._flows.get(key)

    def peek_flow_of(self, packet: Packet) -> Flow | None:
        """Return the flow that a packet after the opening belongs to, as ``peek``."""
        flow = self._flows.get(packet.flow)
        return flow if flow is not None and flow.includes(packet) else None

    def flows_of(self, upstream_ids: Collection[UpstreamId]) -> list[Flow]:
        """The flows of some upstreams; looks at every flow of the table."""
        return [
            flow for flow in self._flows.values() if flow.upstream_id in upstream_ids
        ]

    def add(self, packet: Packet, upstream_id: UpstreamId, now_s: float) -> Flow:
        """Add the flow of its first packet, in place of a former one with its key."""
        self.remove(packet.flow)
        flow = Flow(packet.flow, upstream_id, packet.sequence, now_s)
        self._flows[packet.flow] = flow
        self._add_to_open_flow_count(upstream_id, 1)
        if len(self._flows) > self._max_flows:
            self.remove(next(iter(self._flows)))
        return flow

    def reassign(self, flow: Flow, upstream_id: UpstreamId) -> None:
        """Move a flow, and its count, to another upstream."""
        if flow.upstream_id == upstream_id:
            return
        if flow.state is not FlowState.CLOSING:
            self._add_to_open_flow_count(flow.upstream_id, -1)
            self._add_to_open_flow_count(upstream_id, 1)
        flow.upstream_id = upstream_id

    def mark_closing(self, flow: Flow) -> None:
        """Stop counting a flow as open; its state is kept until the idle timeout."""
        if flow.state is not FlowState.CLOSING:
            flow.state = FlowState.CLOSING
            self._add_to_open_flow_count(flow.upstream_id, -1)

    def remove(self, key: FlowKey) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None and flow.state is not FlowState.CLOSING:
            self._add_to_open_flow_count(flow.upstream_id, -1)

    def expire(self, now_s: float) -> None:
        """Remove flows whose idle timeout has passed."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now_s - flow.last_seen_s < self.idle_timeout_s:
                break
            self.remove(key)

    def open_flow_count(self, upstream_id: UpstreamId) -> int:
        return self._open_flow_counts.get(upstream_id, 0)

    def _add_to_open_flow_count(self, upstream_id: UpstreamId, change: int) -> None:
        count = self._open_flow_counts.get(upstream_id, 0) + change
        if count:
            self._open_flow_counts[upstream_id] = count
        else:
            self._open_flow_counts.pop(upstream_id, None)
