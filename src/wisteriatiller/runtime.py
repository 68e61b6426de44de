"""Wires the parts of a host together, starts them and stops them."""

import asyncio
from collections.abc import Coroutine

from .balance import BoundedLoadChooser
from .config import ConfigSource
from .environment import Environment
from .flowservice import FlowService
from .healing import ZoneHealing
from .homes import Homes
from .ids import Address, FlowKey, ShardId
from .ingress import Ingress
from .lease import ShardLeases
from .loads import LoadBoard
from .membership import Membership
from .opening import FlowOpener, UpstreamChooser
from .owner import Owner
from .ownership import Ownership
from .ports import DatagramPort
from .pressure import DependencyPolicy
from .shardtable import ShardTable
from .tasks import spawn
from .upkeep import Upkeep


class Host:
    """One host: an ingress, and the owner of the shards that it leases."""

    def __init__(
        self,
        environment: Environment,
        membership: Membership,
        leases: ShardLeases,
        source: ConfigSource,
        chooser: UpstreamChooser | None = None,
    ):
        self.environment = environment
        self.membership = membership
        self.leases = leases
        self.source = source
        self.ownership = Ownership(environment, membership)
        self.shards = ShardTable(environment, source, leases, self._answer)
        self.upkeep = Upkeep(environment, source, self.ownership, self.shards)
        self.flow_service = FlowService(environment, source, self.shards)
        homes = Homes(source, membership)
        self.healing = ZoneHealing(
            environment, membership, self.ownership, source, homes, self.shards
        )
        self.loads = LoadBoard(environment, source, self.ownership, self.shards)
        self.shards.policy = DependencyPolicy(environment, source, self.loads)
        chooser = chooser or BoundedLoadChooser(environment, source, self.loads)
        opener = FlowOpener(environment, self.ownership, source, homes, chooser)
        self.owner = Owner(
            environment,
            self.ownership,
            source,
            self.shards,
            homes,
            opener,
            self._answer,
        )
        self.ingress = Ingress(environment, source, homes, self.owner)
        self._ports: list[DatagramPort] = []
        self._tasks: list[asyncio.Task] = []
        leases.on_acquired = self.lease_acquired
        leases.on_lost = self._lease_lost

    async def start(self) -> None:
        """Open the data ports; the fabric's comes last, when all else is ready."""
        settings = self.environment.settings
        self.shards.upstream_port = await self._open(
            settings.upstream_listen, self.owner.receive_from_upstream
        )
        self.ingress.upstream_port = self.shards.upstream_port
        self._run(self.upkeep.probe_upstreams(), "probe upstreams")
        self._run(self.upkeep.sweep(), "sweep")
        self._run(self.healing.run(), "zone healing")
        self._run(self.loads.exchange(), "exchange loads")
        self.ingress.fabric_port = await self._open(
            settings.fabric_listen, self.ingress.receive
        )

    async def close(self) -> None:
        """Close every port and end every task without waiting for anything."""
        for task in self._tasks:
            task.cancel()
        for port in self._ports:
            port.close()

    def lease_acquired(self, shard: ShardId, epoch: int) -> None:
        """Start serving a shard whose lease this host now holds."""
        self.shards.add(shard)
        self.ownership.publish_owner(shard, epoch)

    def _answer(self, flow_key: FlowKey, payload: bytes) -> None:
        self.ingress.answer(flow_key, payload)

    def _lease_lost(self, shard: ShardId, epoch: int) -> None:
        self.shards.remove(shard)

    async def _open(self, address: Address, receive) -> DatagramPort:
        port = await self.environment.datagrams.open(address, receive)
        self._ports.append(port)
        return port

    def _run(self, coroutine: Coroutine, name: str) -> None:
        self._tasks.append(spawn(coroutine, name))
