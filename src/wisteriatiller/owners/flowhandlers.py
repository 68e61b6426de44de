"""Handlers for the messages that other owners send about flows."""

from wisteriatiller.configuration import ConfigSource
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey, HostId, UpstreamId
from wisteriatiller.requests import EXCHANGE_LIFETIME_S

from .flowmessages import (
    CheckAnswer,
    CheckFlows,
    ClaimAnswer,
    ClaimFlow,
    OpenAnswer,
    OpenFlow,
    PlacedAnswer,
    PlacedFlows,
)
from .flows import FlowRecord, FlowState
from .shard import OwnedShard
from .shardtable import ShardTable


class FlowMessageHandlers:
    """Answers claims, requests to open flows, and queries for the owned shards."""

    def __init__(
        self, environment: Environment, source: ConfigSource, shards: ShardTable
    ):
        self._environment = environment
        self._source = source
        self._shards = shards
        environment.peers.register(ClaimFlow, self._handle_claim)
        environment.peers.register(OpenFlow, self._handle_open)
        environment.peers.register(CheckFlows, self._handle_check)
        environment.peers.register(PlacedFlows, self._handle_placed)

    async def _handle_claim(self, sender: HostId, claim: ClaimFlow) -> ClaimAnswer:
        """Release a flow that is not open here, or name the upstream that has it."""
        owned = self._shards.get_by_upstream(UpstreamId(claim.earlier_home))
        flow_key = FlowKey(claim.flow_key)
        if owned is None or flow_key in owned.pending_opens:
            return ClaimAnswer(False, "")
        record = owned.flows.get(flow_key)
        if record is None:
            now_s = self._environment.clock.now_s()
            released = FlowRecord(FlowState.RELEASED, UpstreamId(claim.new_home), now_s)
            owned.flows.put(flow_key, released)
            return await self._answer_released(owned, flow_key)
        if record.state is FlowState.RELEASED:
            record.upstream_id = UpstreamId(claim.new_home)
            owned.flows.notify_changed(flow_key)
            return await self._answer_released(owned, flow_key)
        if record.upstream_id == claim.new_home:
            return ClaimAnswer(True, "")
        return ClaimAnswer(True, record.upstream_id)

    async def _answer_released(
        self, owned: OwnedShard, flow_key: FlowKey
    ) -> ClaimAnswer:
        """Answer that a flow was released, once the backup has the release.

        A successor that did not know of it could open the flow a second time.
        """
        return ClaimAnswer(await owned.wait_replicated(flow_key), "")

    def _handle_open(self, sender: HostId, message: OpenFlow) -> OpenAnswer:
        """Open a flow whose home is in another shard."""
        upstream_id = UpstreamId(message.upstream_id)
        owned = self._shards.get_by_upstream(upstream_id)
        if owned is None or owned.handing_over:
            return OpenAnswer(False)
        if not self._source.configuration.takes_new_flows(upstream_id):
            return OpenAnswer(False)
        flow_key = FlowKey(message.flow_key)
        record = owned.flows.get(flow_key)
        if record is None or record.state is not FlowState.OPEN:
            now_s = self._environment.clock.now_s()
            uncertain_until_s = owned.uncertain_until_s
            if not message.certain:
                uncertain_until_s = now_s + EXCHANGE_LIFETIME_S
            opened = FlowRecord(FlowState.OPEN, upstream_id, now_s, uncertain_until_s)
            owned.flows.put(flow_key, opened)
        return OpenAnswer(True)

    def _handle_placed(self, sender: HostId, message: PlacedFlows) -> PlacedAnswer:
        """Record where flows were opened during a partition.

        A flow that is open here stays and is named in the answer.
        """
        owned = self._shards.get_by_upstream(UpstreamId(message.home))
        if owned is None:
            return PlacedAnswer(False, ())
        now_s = self._environment.clock.now_s()
        open_at_home = []
        for flow_key, upstream_id in message.placements:
            record = owned.flows.get(FlowKey(flow_key))
            if record is not None and record.upstream_id != upstream_id:
                open_at_home.append(flow_key)
            elif record is None:
                placed = FlowRecord(FlowState.ELSEWHERE, UpstreamId(upstream_id), now_s)
                owned.flows.put(FlowKey(flow_key), placed)
        return PlacedAnswer(True, tuple(open_at_home))

    def _handle_check(self, sender: HostId, message: CheckFlows) -> CheckAnswer:
        """Report which of the flows have a record in this shard."""
        owned = self._shards.get_by_upstream(UpstreamId(message.upstream_id))
        if owned is None:
            return CheckAnswer(False, ())
        open_keys = tuple(
            flow_key
            for flow_key in message.flow_keys
            if owned.flows.get(FlowKey(flow_key)) is not None
        )
        return CheckAnswer(True, open_keys)
