"""What a host remembers of the flows whose packets it has seen.

The memory serves balance and evidence only. A host without it, just started or newly
chosen by the routers, still steers every packet by its tag.
"""

from collections import OrderedDict
from enum import Enum

from wisteriatiller.ids import FlowKey, UpstreamId

MAX_FLOWS = 100_000
_SEQUENCE_RANGE = 1 << 32
_HALF_RANGE = 1 << 31


class FlowState(Enum):
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"


class Flow:
    """One remembered flow."""

    __slots__ = (
        "acknowledged",
        "asked_at_s",
        "key",
        "last_seen_s",
        "opened_at_s",
        "repeats",
        "sent_at_s",
        "sequence",
        "state",
        "tried",
        "upstream_id",
    )

    def __init__(self, key: FlowKey, upstream_id: UpstreamId, now_s: float):
        self.key = key
        self.upstream_id = upstream_id
        self.state = FlowState.OPENING
        self.opened_at_s = now_s
        self.last_seen_s = now_s
        self.tried: tuple[UpstreamId, ...] = ()
        self.sequence = 0
        self.sent_at_s = now_s
        self.acknowledged = 0
        self.repeats = 0
        # When the request was sent that has no answer yet; None if there is none.
        self.asked_at_s: float | None = None


def is_sequence_after(number: int, other: int) -> bool:
    """Whether a sequence number follows another, past the wrap to zero too.

    >>> is_sequence_after(5, 4294967290)
    True
    """
    return 0 < (number - other) % _SEQUENCE_RANGE < _HALF_RANGE


class FlowTable:
    """Flows in the order of their last packet, with open flows by upstream."""

    def __init__(self, idle_timeout_s: float, max_flows: int = MAX_FLOWS):
        self.idle_timeout_s = idle_timeout_s
        self._max_flows = max_flows
        self._flows: OrderedDict[FlowKey, Flow] = OrderedDict()
        self._open_flow_counts: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey, now_s: float) -> Flow | None:
        """Look a flow up and note that it has been seen."""
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_seen_s = now_s
            self._flows.move_to_end(key)
        return flow

    def add(self, key: FlowKey, upstream_id: UpstreamId, now_s: float) -> Flow:
        self.remove(key)
        flow = Flow(key, upstream_id, now_s)
        self._flows[key] = flow
        self._add_to_open_flow_count(upstream_id, 1)
        if len(self._flows) > self._max_flows:
            self.remove(next(iter(self._flows)))
        return flow

    def reassign(self, flow: Flow, upstream_id: UpstreamId) -> None:
        """Note that a flow belongs to another upstream than it did."""
        if flow.upstream_id == upstream_id:
            return
        if flow.state is not FlowState.CLOSING:
            self._add_to_open_flow_count(flow.upstream_id, -1)
            self._add_to_open_flow_count(upstream_id, 1)
        flow.upstream_id = upstream_id

    def mark_closing(self, flow: Flow) -> None:
        """Count a flow as open no longer; it is remembered until it is idle."""
        if flow.state is not FlowState.CLOSING:
            flow.state = FlowState.CLOSING
            self._add_to_open_flow_count(flow.upstream_id, -1)

    def remove(self, key: FlowKey) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None and flow.state is not FlowState.CLOSING:
            self._add_to_open_flow_count(flow.upstream_id, -1)

    def expire(self, now_s: float) -> None:
        """Forget idle flows."""
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
