"""Data model of the service configuration that every host holds in memory.

A ``Configuration`` is immutable and carries its revision. ``configtext`` builds one
from the operators' text; ``configrecord`` encodes it as a record, which is kept in
the store and sent between hosts.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from wisteriatiller.ids import (
    NO_REVISION,
    Address,
    HostId,
    Revision,
    ServiceId,
    ShardId,
    UpstreamId,
    ZoneId,
)
from wisteriatiller.placement import PlacementTable, shard_of

DEFAULT_SHARD_COUNT = 16
MAX_EARLIER_TABLES = 16


class RequestMode(Enum):
    """Whether the balancer parses the requests of a service.

    With ``COAP`` it reads each CoAP message; with ``OPAQUE`` it forwards the payload
    unread.
    """

    COAP = "coap"
    OPAQUE = "opaque"


@dataclass(frozen=True, slots=True)
class Upstream:
    """Address, zone, capacity and weight of one upstream of a service."""

    upstream_id: UpstreamId
    service_id: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    weight: float = 1.0
    drain: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Address, request mode, upstreams and limits of one service."""

    service_id: ServiceId
    address: Address
    mode: RequestMode
    upstreams: Mapping[UpstreamId, Upstream]
    depends_on: tuple[ServiceId, ...] = ()
    deadline_ms: int = 2000
    flow_idle_s: int = 300
    slow_start_s: int = 10
    objective: float = 0.999


@dataclass(frozen=True, slots=True)
class EarlierUpstreams:
    """The upstreams that a service had at an earlier revision.

    ``revision`` is the last one before the placement table of the service changed.
    """

    revision: Revision
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class Configuration:
    """All services at one revision, with the earlier upstreams of each service.

    ``text`` is the operators' text that the services were read from.
    """

    revision: Revision = NO_REVISION
    services: Mapping[ServiceId, Service] = field(default_factory=dict)
    shard_count: int = DEFAULT_SHARD_COUNT
    earlier_upstreams: Mapping[ServiceId, tuple[EarlierUpstreams, ...]] = field(
        default_factory=dict
    )
    text: str = ""

    @cached_property
    def service_by_address(self) -> dict[Address, Service]:
        return {service.address: service for service in self.services.values()}

    @cached_property
    def upstreams(self) -> dict[UpstreamId, Upstream]:
        """Every upstream by id, including those only in earlier tables."""
        by_id = {
            upstream.upstream_id: upstream
            for tables in self.earlier_upstreams.values()
            for table in reversed(tables)
            for upstream in table.upstreams
        }
        for service in self.services.values():
            by_id.update(service.upstreams)
        return by_id

    @cached_property
    def upstream_by_address(self) -> dict[Address, Upstream]:
        return {upstream.address: upstream for upstream in self.upstreams.values()}

    @cached_property
    def placement_tables(self) -> dict[ServiceId, PlacementTable]:
        return {
            service_id: build_placement_table(service.upstreams.values())
            for service_id, service in self.services.items()
        }

    @cached_property
    def earlier_placement_tables(self) -> dict[ServiceId, tuple[PlacementTable, ...]]:
        """The earlier placement tables of each service, latest first."""
        return {
            service_id: tuple(
                build_placement_table(table.upstreams) for table in tables
            )
            for service_id, tables in self.earlier_upstreams.items()
        }

    @cached_property
    def upstreams_by_shard(self) -> dict[ShardId, tuple[Upstream, ...]]:
        """The upstreams of the current services, grouped by shard.

        Cached because shard owners read it several times a second: a pass over 16,000
        upstreams on each read took more CPU time than the budget for all control work.
        """
        by_shard: dict[ShardId, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            if upstream.service_id in self.services:
                by_shard.setdefault(self.shard_of(upstream), []).append(upstream)
        return {shard: tuple(upstreams) for shard, upstreams in by_shard.items()}

    @cached_property
    def zones(self) -> frozenset[ZoneId]:
        """The availability zones that contain an upstream."""
        return frozenset(upstream.zone for upstream in self.upstreams.values())

    @cached_property
    def direct_dependents(self) -> dict[ServiceId, tuple[Service, ...]]:
        """The services that list a given service in their ``depends_on``."""
        dependents: dict[ServiceId, list[Service]] = {}
        for service in self.services.values():
            for dependency in dict.fromkeys(service.depends_on):
                dependents.setdefault(dependency, []).append(service)
        return {
            service_id: tuple(services) for service_id, services in dependents.items()
        }

    def shard_of(self, upstream: Upstream) -> ShardId:
        return shard_of(upstream.upstream_id, upstream.zone, self.shard_count)

    def takes_new_flows(self, upstream_id: UpstreamId) -> bool:
        """Whether the upstream is in the current configuration and not draining.

        An upstream that only an earlier table contains takes no new flows.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or upstream.drain:
            return False
        service = self.services.get(upstream.service_id)
        return service is not None and upstream_id in service.upstreams


def build_placement_table(upstreams) -> PlacementTable:
    """Return the placement table of the upstreams that are not draining."""
    return PlacementTable(
        (upstream.upstream_id, upstream.weight)
        for upstream in sorted(upstreams, key=lambda item: item.upstream_id)
        if not upstream.drain
    )


def next_earlier_upstreams(
    former: Configuration, services: Mapping[ServiceId, Service]
) -> dict[ServiceId, tuple[EarlierUpstreams, ...]]:
    """Return the earlier upstreams for the configuration that follows ``former``.

    If the placement table of a service changes, its upstreams in ``former`` are put
    in front of the list, which keeps at most ``MAX_EARLIER_TABLES`` entries.
    """
    earlier = {}
    for service_id, service in services.items():
        tables = former.earlier_upstreams.get(service_id, ())
        old = former.services.get(service_id)
        if old is not None:
            new_table = build_placement_table(service.upstreams.values())
            if build_placement_table(old.upstreams.values()) != new_table:
                kept = EarlierUpstreams(former.revision, tuple(old.upstreams.values()))
                tables = (kept, *tables)[:MAX_EARLIER_TABLES]
        earlier[service_id] = tables
    return earlier


class ConfigSource(ABC):
    """Interface to the configuration that is in force on this host."""

    @property
    @abstractmethod
    def configuration(self) -> Configuration: ...

    @abstractmethod
    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each new configuration that takes effect."""

    @abstractmethod
    async def catch_up(
        self, host_id: HostId, revision: Revision, timeout_s: float
    ) -> bool:
        """Pull the configuration from a host that has ``revision``.

        Returns whether that revision or a later one is in force on this host.
        """
