"""Assembles a host from its components and manages its start and shutdown."""

import asyncio
from collections.abc import Coroutine

from wisteriatiller.configuration import ConfigSource
from wisteriatiller.foundation import DatagramSocket, Environment, log_event, spawn
from wisteriatiller.ids import Address, FlowKey, ShardId
from wisteriatiller.leases import (
    GrantorViewManager,
    LeaseGrantor,
    MajorityLeases,
    Ownership,
)
from wisteriatiller.membership import SwimMembership
from wisteriatiller.owners import (
    BackpressurePolicy,
    BoundedLoadChooser,
    FlowMessageHandlers,
    FlowOpener,
    Handover,
    HomeResolver,
    Ingress,
    LoadTable,
    Owner,
    PartitionReconciler,
    Replicator,
    ShardMaintenance,
    ShardTable,
    UpstreamChooser,
)
from wisteriatiller.store import GOSSIP_KEY, ConfigFollower

JOIN_TIMEOUT_S = 5.0
CONFIG_TIMEOUT_S = 5.0
CONFIG_POLL_INTERVAL_S = 0.02
# The fabric learns late that a host has left, so a stopping host keeps forwarding
# until it has received no datagram from the fabric for this long.
FABRIC_IDLE_S = 1.0
FABRIC_POLL_INTERVAL_S = 0.1


class Host:
    """The components of one host: its ingress, and the owner of its leased shards.

    ``close`` releases the ports and tasks, also without a ``stop`` before it.

    ::

        host = Host(environment)
        await host.start()
        ...
        await host.stop()
        await host.close()
    """

    def __init__(
        self, environment: Environment, chooser: UpstreamChooser | None = None
    ):
        self.environment = environment
        self.membership = SwimMembership(environment)
        self.source: ConfigSource = ConfigFollower(environment, self.membership)
        self.ownership = Ownership(environment, self.membership)
        self._create_leases()
        self.shards = ShardTable(
            environment, self.source, self.leases, self._send_answer
        )
        self.handover = Handover(
            environment, self.ownership, self.leases, self.shards, self.replicator
        )
        self.maintenance = ShardMaintenance(
            environment, self.source, self.ownership, self.shards
        )
        self.flow_handlers = FlowMessageHandlers(environment, self.source, self.shards)
        self.loads = LoadTable(environment, self.source, self.ownership, self.shards)
        self.shards.policy = BackpressurePolicy(environment, self.source, self.loads)
        self._create_data_path(
            chooser or BoundedLoadChooser(environment, self.source, self.loads)
        )
        self._ports: list[DatagramSocket] = []
        self._tasks: list[asyncio.Task] = []

    def _create_leases(self) -> None:
        environment = self.environment
        self.views = GrantorViewManager(environment, self.membership)
        self.grantor = LeaseGrantor(environment, self.views)
        self.leases = MajorityLeases(
            environment,
            self.membership,
            self.ownership,
            self.views,
            lambda: self.source.configuration.shard_count,
        )
        self.replicator = Replicator(environment, self.ownership, self.leases)
        self.leases.on_acquired = self._on_lease_acquired
        self.leases.on_lost = self._on_lease_lost
        self.membership.subscribe_stalls(self.leases.drop_all)

    def _create_data_path(self, chooser: UpstreamChooser) -> None:
        environment = self.environment
        homes = HomeResolver(self.source, self.membership)
        self.reconciler = PartitionReconciler(
            environment,
            self.membership,
            self.ownership,
            self.source,
            homes,
            self.shards,
        )
        opener = FlowOpener(environment, self.ownership, self.source, homes, chooser)
        self.owner = Owner(
            environment,
            self.ownership,
            self.source,
            self.shards,
            homes,
            opener,
            self._send_answer,
        )
        self.ingress = Ingress(environment, self.source, homes, self.owner)

    async def start(self) -> None:
        """Join the cluster, start the background tasks and open the data ports.

        The fabric's port opens last, once the configuration has arrived or the wait
        for it has timed out.
        """
        settings = self.environment.settings
        await self.membership.start()
        if not await self.membership.wait_joined(JOIN_TIMEOUT_S):
            log_event("join_timeout", level="warning", seeds=len(settings.seeds))
        self.shards.upstream_port = await self._open_port(
            settings.upstream_listen, self.owner.receive_from_upstream
        )
        self.ingress.upstream_port = self.shards.upstream_port
        self._start_task(self.source.run(), "follow configuration")
        self._start_task(self.views.run(), "grantor views")
        self._start_task(self.leases.run(), "leases")
        self._start_task(self.replicator.run(), "replication")
        self._start_task(self.handover.run(), "hand-over")
        self._start_task(self.maintenance.probe_upstreams(), "probe upstreams")
        self._start_task(self.maintenance.expire_records(), "sweep")
        self._start_task(self.reconciler.run(), "zone healing")
        self._start_task(self.loads.send_periodically(), "exchange loads")
        await self._wait_for_configuration()
        self.ingress.fabric_port = await self._open_port(
            settings.fabric_listen, self.ingress.receive
        )

    async def _wait_for_configuration(self) -> None:
        """Wait until this host runs the revision that gossip has announced, if any.

        Without a configuration, a host would drop every datagram because its service
        is unknown. Gives up after ``CONFIG_TIMEOUT_S``.
        """
        deadline_s = self.environment.clock.now_s() + CONFIG_TIMEOUT_S
        while self.environment.clock.now_s() < deadline_s:
            gossiped = self.membership.gossiped_value(GOSSIP_KEY)
            if gossiped is None or self.source.configuration.revision >= gossiped[0]:
                return
            await asyncio.sleep(CONFIG_POLL_INTERVAL_S)
        log_event("configuration_timeout", level="warning")

    async def stop(self) -> None:
        """Leave the cluster gracefully.

        Hands all shards over and forwards datagrams until the fabric sends no more.
        """
        self.leases.is_leaving = True
        await self.membership.leave()
        await self.handover.hand_over_all(self.environment.settings.stop_timeout_s)
        await self._wait_until_fabric_idle()
        # A hand-over accepted before the stop may have added a shard meanwhile.
        await self.handover.hand_over_all(self.environment.settings.stop_timeout_s)
        await self.membership.stop()

    async def close(self) -> None:
        """Close every port and cancel every task without waiting for them to finish."""
        self.membership.close()
        for task in self._tasks:
            task.cancel()
        for port in self._ports:
            port.close()

    def count_unfinished(self) -> dict[str, int]:
        """Count the shards, requests and flows that an immediate exit would abandon."""
        dispatchers = [
            dispatcher
            for owned in self.shards
            for dispatcher in owned.dispatchers.values()
        ]
        return {
            "shards": len(list(self.shards)),
            "in_flight": sum(dispatcher.in_flight for dispatcher in dispatchers),
            "queued": sum(dispatcher.queued for dispatcher in dispatchers),
            "flows": sum(len(owned.flows) for owned in self.shards),
        }

    async def _wait_until_fabric_idle(self) -> None:
        """Wait until the fabric is idle, for at most ``stop_timeout_s``."""
        clock = self.environment.clock
        deadline_s = clock.now_s() + self.environment.settings.stop_timeout_s
        while clock.now_s() < deadline_s:
            if clock.now_s() - self.ingress.last_datagram_s > FABRIC_IDLE_S:
                return
            await asyncio.sleep(FABRIC_POLL_INTERVAL_S)

    def _on_lease_acquired(self, shard: ShardId, epoch: int) -> None:
        """Take over a shard: restore its replicated state and announce the owner."""
        owned = self.shards.add(shard)
        handed_over = self.replicator.start_shard(owned, epoch)
        self.maintenance.probe_shard(owned)
        self.ownership.publish_owner(shard, epoch)
        for request in handed_over:
            self.shards.restore(owned, request)

    def _on_lease_lost(self, shard: ShardId, epoch: int) -> None:
        """Drop a shard and stop its replication."""
        self.shards.remove(shard)
        self.replicator.stop_shard(shard)

    def _send_answer(self, flow_key: FlowKey, payload: bytes) -> None:
        # Looked up at each call: the ingress is created after its users.
        self.ingress.answer(flow_key, payload)

    async def _open_port(self, address: Address, on_datagram) -> DatagramSocket:
        port = await self.environment.datagrams.open(address, on_datagram)
        self._ports.append(port)
        return port

    def _start_task(self, coroutine: Coroutine, name: str) -> None:
        self._tasks.append(spawn(coroutine, name))
