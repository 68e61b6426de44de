"""The flow table of an ownership shard."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from wisteriatiller.ids import FlowKey, UpstreamId


class FlowState(Enum):
    """Where a flow is served, as recorded in one ownership shard."""

    OPEN = "open"
    ELSEWHERE = "elsewhere"
    RELEASED = "released"
    LOST = "lost"


@dataclass(slots=True)
class FlowRecord:
    """The upstream of one flow and the state of the flow in this shard.

    ``OPEN``: open on an upstream of this shard. ``ELSEWHERE``: open on an upstream of
    another shard. ``RELEASED``: released to the owner of its new home, which claimed
    it; this shard no longer opens it on its own. ``LOST``: its upstream died; the flow
    is placed on another upstream only after the loss was reported to the caller
    (``loss_reported``).

    Until ``uncertain_until_s``, a request of the flow may have run under an owner
    whose records this host does not have. ``was_open_here`` marks a flow that was
    open in this shard before and was moved to another upstream: retransmissions of
    its earlier requests must be answered from this shard's duplicate table.
    """

    state: FlowState
    upstream_id: UpstreamId
    last_seen_s: float
    uncertain_until_s: float = 0.0
    loss_reported: bool = False
    was_open_here: bool = False


class FlowTable:
    """Flow records of one shard, with the number of open flows per upstream.

    ``on_change`` is called with the key of each record that is put, removed or
    changed. Code that changes a record in place must call ``notify_changed``.
    """

    def __init__(self):
        self.on_change: Callable[[FlowKey], None] = lambda flow_key: None
        self._records: dict[FlowKey, FlowRecord] = {}
        self._open_counts: dict[UpstreamId, int] = {}
        self._opened: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[FlowKey, FlowRecord]]:
        return iter(self._records.items())

    def get(self, flow_key: FlowKey) -> FlowRecord | None:
        return self._records.get(flow_key)

    def open_count(self, upstream_id: UpstreamId) -> int:
        """The number of flows that are open on the upstream."""
        return self._open_counts.get(upstream_id, 0)

    def opened_count(self, upstream_id: UpstreamId) -> int:
        """The number of flows opened on the upstream so far, closed ones included."""
        return self._opened.get(upstream_id, 0)

    def put(self, flow_key: FlowKey, record: FlowRecord) -> None:
        """Add or replace the record of a flow."""
        self.remove(flow_key)
        self._records[flow_key] = record
        if record.state is FlowState.OPEN:
            self._opened[record.upstream_id] = self.opened_count(record.upstream_id) + 1
            self._add_to_open_count(record.upstream_id, 1)
        self.on_change(flow_key)

    def remove(self, flow_key: FlowKey) -> None:
        record = self._records.pop(flow_key, None)
        if record is None:
            return
        if record.state is FlowState.OPEN:
            self._add_to_open_count(record.upstream_id, -1)
        self.on_change(flow_key)

    def notify_changed(self, flow_key: FlowKey) -> None:
        """Report a record that was changed in place, so that it is replicated."""
        self.on_change(flow_key)

    def mark_lost(self, upstream_id: UpstreamId) -> int:
        """Set the open flows of a dead upstream to ``LOST``; return their number."""
        lost = [
            (flow_key, record)
            for flow_key, record in self._records.items()
            if record.state is FlowState.OPEN and record.upstream_id == upstream_id
        ]
        for flow_key, record in lost:
            record.state = FlowState.LOST
            self.on_change(flow_key)
        self._add_to_open_count(upstream_id, -len(lost))
        return len(lost)

    def idle_keys(self, now_s: float, idle_s: float) -> list[FlowKey]:
        """Keys of the records that were not used for more than ``idle_s``."""
        return [
            flow_key
            for flow_key, record in self._records.items()
            if now_s - record.last_seen_s > idle_s
        ]

    def _add_to_open_count(self, upstream_id: UpstreamId, delta: int) -> None:
        self._open_counts[upstream_id] = self.open_count(upstream_id) + delta
