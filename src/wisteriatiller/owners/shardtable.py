"""The ownership shards of this host, with the dispatchers of their upstreams."""

from collections.abc import Iterator

from wisteriatiller.configuration import ConfigSource, Configuration, Upstream
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import DatagramSocket, Environment
from wisteriatiller.ids import FlowKey, ShardId, UpstreamId
from wisteriatiller.leases import ShardLeases
from wisteriatiller.requests import (
    DispatchPolicy,
    HealthListener,
    Request,
    UpstreamDispatcher,
    UpstreamHealth,
)

from .shard import OwnedShard


class ShardTable:
    """The shards that this host owns, by shard id and by upstream.

    A shard is in the table from the acquisition of its lease to the loss of it.
    ``policy`` is passed to each new dispatcher. ``on_health`` is called with each
    health event of an upstream.
    """

    def __init__(
        self,
        environment: Environment,
        source: ConfigSource,
        leases: ShardLeases,
        answer,
    ):
        self.upstream_port: DatagramSocket | None = None
        self.policy = DispatchPolicy()
        self.on_health: HealthListener = lambda upstream_id, event: None
        self._environment = environment
        self._source = source
        self._leases = leases
        self._answer = answer
        self._shards: dict[ShardId, OwnedShard] = {}
        source.subscribe(self._reconfigure)

    def __iter__(self) -> Iterator[OwnedShard]:
        return iter(tuple(self._shards.values()))

    def __contains__(self, shard: ShardId) -> bool:
        return shard in self._shards

    def add(self, shard: ShardId) -> OwnedShard:
        """The shard's entry, created if there is none."""
        owned = self._shards.get(shard)
        if owned is None:
            owned = self._shards[shard] = OwnedShard(shard, self._leases)
        return owned

    def remove(self, shard: ShardId) -> None:
        """Remove a shard whose lease was lost and close its dispatchers."""
        owned = self._shards.pop(shard, None)
        if owned is not None:
            for dispatcher in owned.dispatchers.values():
                dispatcher.close()

    def get(self, shard: ShardId) -> OwnedShard | None:
        """The shard; None if its lease is not held or it is frozen."""
        owned = self._shards.get(shard)
        if owned is None or owned.frozen or owned.lease_remaining_s() <= 0:
            return None
        return owned

    def get_by_upstream(self, upstream_id: UpstreamId) -> OwnedShard | None:
        """The shard of the upstream, under the same conditions as ``get``."""
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(upstream_id)
        if upstream is None:
            return None
        return self.get(configuration.shard_of(upstream))

    def upstreams_of(self, owned: OwnedShard) -> tuple[Upstream, ...]:
        """The upstreams of the shard in the configuration in force."""
        configuration = self._source.configuration
        return configuration.upstreams_by_shard.get(owned.shard, ())

    def get_dispatcher(
        self, owned: OwnedShard, upstream: Upstream
    ) -> UpstreamDispatcher:
        """The dispatcher of an upstream of the shard, created on first use."""
        dispatcher = owned.dispatchers.get(upstream.upstream_id)
        if dispatcher is None:
            service = self._source.configuration.services[upstream.service_id]
            health = UpstreamHealth(
                self._environment, upstream.upstream_id, service.slow_start_s
            )
            health.subscribe(lambda *change: self.on_health(*change))
            dispatcher = UpstreamDispatcher(
                self._environment,
                service,
                upstream,
                owned.duplicates,
                owned,
                health,
                lambda data: self.send(upstream, data),
                self._answer,
                self.policy,
            )
            owned.dispatchers[upstream.upstream_id] = dispatcher
        return dispatcher

    def restore(self, owned: OwnedShard, request: Request) -> None:
        """Queue a request that the former owner of the shard handed over.

        A request whose upstream or service was removed is forgotten.
        """
        upstream = self._source.configuration.upstreams.get(request.record.upstream_id)
        if upstream is None or upstream.service_id not in (
            self._source.configuration.services
        ):
            # It was never dispatched, so a retransmission may go to another upstream.
            owned.duplicates.remove(request.key)
            return
        self.get_dispatcher(owned, upstream).requeue(request)

    def handle_response(
        self, upstream: Upstream, flow_key: FlowKey, payload: bytes
    ) -> None:
        """Pass an upstream's answer to the dispatcher that sent the request.

        The lease may have expired since: the answer is still delivered.
        """
        owned = self._shards.get(self._source.configuration.shard_of(upstream))
        if owned is not None and upstream.upstream_id in owned.dispatchers:
            owned.dispatchers[upstream.upstream_id].handle_response(flow_key, payload)

    def send(self, upstream: Upstream, data: bytes) -> None:
        """Send a datagram to an upstream."""
        check_invariant(self.upstream_port is not None, "upstream_port_is_open")
        self.upstream_port.send(data, upstream.address)

    def _reconfigure(self, configuration: Configuration) -> None:
        """Apply a new configuration to the existing dispatchers."""
        for owned in self._shards.values():
            for upstream_id, dispatcher in owned.dispatchers.items():
                upstream = configuration.upstreams.get(upstream_id)
                if upstream is None or upstream.service_id not in (
                    configuration.services
                ):
                    continue
                service = configuration.services[upstream.service_id]
                dispatcher.reconfigure(service, upstream)
