"""Reconciliation after a partition: homes learn where their flows were opened."""

import asyncio

from wisteriatiller.configuration import ConfigSource
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey, UpstreamId, ZoneId
from wisteriatiller.leases import Ownership
from wisteriatiller.membership import Membership

from .flowmessages import PlacedAnswer, PlacedFlows
from .flows import FlowRecord, FlowState
from .homes import HomeResolver
from .shard import OwnedShard
from .shardtable import ShardTable

CHECK_INTERVAL_S = 0.5
REPORT_BATCH = 500
REPORT_TIMEOUT_S = 1.0
REPORT_ATTEMPTS = 10


class PartitionReconciler:
    """Reports flows that were opened away from an unreachable home to that home.

    A flow that stayed open at its home during the partition returns there, since the
    home's upstream has its session. Any other flow stays where it was opened.
    """

    def __init__(
        self,
        environment: Environment,
        membership: Membership,
        ownership: Ownership,
        source: ConfigSource,
        homes: HomeResolver,
        shards: ShardTable,
    ):
        self._environment = environment
        self._membership = membership
        self._ownership = ownership
        self._source = source
        self._homes = homes
        self._shards = shards

    async def run(self) -> None:
        """Reconcile with each zone that becomes reachable again, until cancelled."""
        unreachable: set[ZoneId] = set()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            zones = self._source.configuration.zones
            reconnected = {
                zone for zone in unreachable if self._membership.is_zone_reachable(zone)
            }
            unreachable = {
                z for z in zones if not self._membership.is_zone_reachable(z)
            }
            if reconnected:
                for owned in self._shards:
                    await self._report_flows(owned, reconnected)

    async def _report_flows(self, owned: OwnedShard, zones: set[ZoneId]) -> None:
        """Report the shard's flows whose homes are in the zones, in batches."""
        for home, placements in self._flows_away_from_home(owned, zones).items():
            for start in range(0, len(placements), REPORT_BATCH):
                batch = tuple(placements[start : start + REPORT_BATCH])
                await self._report_batch(owned, PlacedFlows(home, batch))

    def _flows_away_from_home(
        self, owned: OwnedShard, zones: set[ZoneId]
    ) -> dict[UpstreamId, list[tuple[FlowKey, UpstreamId]]]:
        """Flows open in the shard whose homes are in the zones, grouped by home."""
        configuration = self._source.configuration
        placements: dict[UpstreamId, list] = {}
        for flow_key, record in owned.flows:
            upstream = configuration.upstreams.get(record.upstream_id)
            if record.state is not FlowState.OPEN or upstream is None:
                continue
            home = self._homes.home(upstream.service_id, flow_key)
            if home in (None, record.upstream_id):
                continue
            if configuration.upstreams[home].zone in zones:
                placements.setdefault(home, []).append((flow_key, record.upstream_id))
        return placements

    async def _report_batch(self, owned: OwnedShard, message: PlacedFlows) -> None:
        """Report one batch to the home's owner, with retries."""
        configuration = self._source.configuration
        home = UpstreamId(message.home)
        for _ in range(REPORT_ATTEMPTS):
            owner = self._ownership.owner(
                configuration.shard_of(configuration.upstreams[home])
            )
            if owner is not None:
                answer = await self._environment.peers.call(
                    owner, message, REPORT_TIMEOUT_S
                )
                if isinstance(answer, PlacedAnswer) and answer.owned:
                    self._return_flows(owned, home, answer.open_at_home)
                    return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _return_flows(self, owned: OwnedShard, home: UpstreamId, flow_keys) -> None:
        """Send the datagrams of these flows to their home from now on."""
        now_s = self._environment.clock.now_s()
        for flow_key in flow_keys:
            # Retransmissions of requests that ran here are still answered here.
            record = FlowRecord(FlowState.ELSEWHERE, home, now_s, was_open_here=True)
            owned.flows.put(FlowKey(flow_key), record)
        if flow_keys:
            self._environment.metrics.count("flows.returned_home", len(flow_keys))
