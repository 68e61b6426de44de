"""Periodic maintenance of the owned shards: health probes and record expiry."""

import asyncio

from wisteriatiller.configuration import ConfigSource, Configuration
from wisteriatiller.foundation import Environment, log_event
from wisteriatiller.ids import FlowKey, UpstreamId
from wisteriatiller.leases import Ownership
from wisteriatiller.requests import EXCHANGE_LIFETIME_S, PROBE_INTERVAL_S, HealthEvent

from .flowmessages import CheckAnswer, CheckFlows
from .flows import FlowRecord, FlowState
from .shard import OwnedShard
from .shardtable import ShardTable

# The flows of an upstream that does not answer for this long are lost. A shorter
# silence may be a network failure, after which its flows continue.
LOST_AFTER_S = 10.0
EXPIRY_INTERVAL_S = 5.0
CHECK_BATCH = 500
CHECK_TIMEOUT_S = 1.0


class ShardMaintenance:
    """Probes the upstreams of the owned shards and expires idle records.

    The host runs ``probe_upstreams`` and ``expire_records`` as tasks.
    """

    def __init__(
        self,
        environment: Environment,
        source: ConfigSource,
        ownership: Ownership,
        shards: ShardTable,
    ):
        self._environment = environment
        self._source = source
        self._ownership = ownership
        self._shards = shards
        shards.on_health = self._handle_health_event

    async def probe_upstreams(self) -> None:
        """Probe every upstream of the owned shards until cancelled."""
        while True:
            for owned in self._shards:
                self.probe_shard(owned)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def probe_shard(self, owned: OwnedShard) -> None:
        """Probe each upstream of a shard; mark the flows of silent ones as lost."""
        for upstream in self._shards.upstreams_of(owned):
            dispatcher = self._shards.get_dispatcher(owned, upstream)
            self._shards.send(upstream, dispatcher.health.make_probe())
            if dispatcher.health.unanswered_probe_s > LOST_AFTER_S:
                self._mark_flows_lost(owned, upstream.upstream_id)

    def _handle_health_event(self, upstream_id: UpstreamId, event: HealthEvent) -> None:
        """Log a health event; mark the flows of a restarted upstream as lost."""
        log_event("upstream_health", upstream=upstream_id, change=event.value)
        owned = self._shards.get_by_upstream(upstream_id)
        if event is HealthEvent.RESTARTED and owned is not None:
            self._mark_flows_lost(owned, upstream_id)

    def _mark_flows_lost(self, owned: OwnedShard, upstream_id: UpstreamId) -> None:
        """Mark the flows of an upstream that lost its sessions as lost."""
        lost = owned.flows.mark_lost(upstream_id)
        if lost:
            log_event("flows_lost", upstream=upstream_id, flows=lost)

    async def expire_records(self) -> None:
        """Expire idle flows and old request records until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for owned in self._shards:
                owned.duplicates.expire(self._now_s())
                await self._expire_flows(owned)

    async def _expire_flows(self, owned: OwnedShard) -> None:
        """Remove idle flows; ask other owners first about flows that they serve."""
        configuration = self._source.configuration
        now_s = self._now_s()
        served_elsewhere: dict[UpstreamId, list[FlowKey]] = {}
        for flow_key, record in list(owned.flows):
            idle_s = _idle_limit_s(configuration, record)
            if now_s - record.last_seen_s <= idle_s:
                continue
            if record.state in (FlowState.ELSEWHERE, FlowState.RELEASED):
                served_elsewhere.setdefault(record.upstream_id, []).append(flow_key)
            else:
                owned.flows.remove(flow_key)
        for upstream_id, flow_keys in served_elsewhere.items():
            for start in range(0, len(flow_keys), CHECK_BATCH):
                batch = flow_keys[start : start + CHECK_BATCH]
                await self._expire_served_elsewhere(owned, upstream_id, batch)

    async def _expire_served_elsewhere(
        self, owned: OwnedShard, upstream_id: UpstreamId, flow_keys: list[FlowKey]
    ) -> None:
        """Remove records of flows that the upstream's owner no longer knows."""
        still_open = await self._ask_open_flows(upstream_id, flow_keys)
        if still_open is None:
            return
        now_s = self._now_s()
        for flow_key in flow_keys:
            record = owned.flows.get(flow_key)
            if record is None:
                continue
            if flow_key in still_open:
                record.last_seen_s = now_s
            else:
                owned.flows.remove(flow_key)

    async def _ask_open_flows(
        self, upstream_id: UpstreamId, flow_keys: list[FlowKey]
    ) -> set[bytes] | None:
        """The flows that the upstream's owner knows; None without an answer."""
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(upstream_id)
        if upstream is None:
            return set()
        owner = self._ownership.owner(configuration.shard_of(upstream))
        if owner is None:
            return None
        message = CheckFlows(upstream_id, tuple(flow_keys))
        answer = await self._environment.peers.call(owner, message, CHECK_TIMEOUT_S)
        if not isinstance(answer, CheckAnswer) or not answer.owned:
            return None
        return set(answer.open_keys)

    def _now_s(self) -> float:
        return self._environment.clock.now_s()


def _idle_limit_s(configuration: Configuration, record: FlowRecord) -> float:
    """How long the record may go unused before it expires."""
    if record.state is FlowState.LOST:
        return EXCHANGE_LIFETIME_S
    upstream = configuration.upstreams.get(record.upstream_id)
    service = upstream and configuration.services.get(upstream.service_id)
    return service.flow_idle_s if service else EXCHANGE_LIFETIME_S
