"""Several hosts with stand-ins around them in one process on virtual time.

The hosts are built from the program's own parts. Fabric, upstreams and callers are
those of ``testbed``, on the in-memory network of ``fakes``::

    fleet = Fleet(seed=1)
    await fleet.start()
    flow = fleet.open_flow("stock-browser", index=7)
    answer = await flow.request(Code.GET, "price/oak-knob")
"""

from testbed.caller import Caller
from testbed.fabric import Fabric
from testbed.upstream import Upstream, UpstreamSpec
from tests.fakes import FABRIC_RETURN, FakeDatagramPort, FakeNetwork, FakeStore
from wisteriatiller.config import (
    ConfigSource,
    Configuration,
    RequestMode,
    Service,
    Upstream as UpstreamConfig,
)
from wisteriatiller.ids import Address, Revision, ServiceId, UpstreamId, ZoneId
from wisteriatiller.lease import StaticLeases
from wisteriatiller.membership import StaticMembership
from wisteriatiller.ownership import Ownership
from wisteriatiller.runtime import Host

ZONES = ("quimper", "brest", "rennes")
CALLER_ADDRESS = Address("10.200.0.1", 7000)
SERVICE_SIZES = {"stock-browser": (7, 3), "sheet-service": (3, 3)}


class StaticSource(ConfigSource):
    """A configuration that tests set directly."""

    def __init__(self, configuration: Configuration):
        self._configuration = configuration
        self._listeners = []

    @property
    def configuration(self):
        return self._configuration

    def subscribe(self, listener):
        self._listeners.append(listener)

    async def catch_up(self, host_id, revision, timeout_s):
        return self._configuration.revision >= revision

    def set(self, configuration):
        self._configuration = configuration
        for listener in self._listeners:
            listener(configuration)


def build_services(sizes=None, **options) -> dict[ServiceId, Service]:
    """Services of the given numbers of upstreams and slots, spread over the zones."""
    services = {}
    for number, (name, (count, slots)) in enumerate((sizes or SERVICE_SIZES).items()):
        service_id = ServiceId(name)
        upstreams = {}
        for index in range(count):
            upstream_id = UpstreamId(f"{name}-{index + 1}")
            upstreams[upstream_id] = UpstreamConfig(
                upstream_id,
                service_id,
                Address(f"10.20.{number}.{index + 1}", 7001),
                ZoneId(ZONES[index % len(ZONES)]),
                slots,
            )
        services[service_id] = Service(
            service_id,
            Address(f"10.10.0.{number + 1}", 5683),
            RequestMode.COAP,
            upstreams,
            **options,
        )
    return services


class Fleet:
    """Hosts, upstreams, a fabric and callers on one in-memory network."""

    def __init__(self, seed: int, hosts_per_zone: int = 3, sizes=None):
        self.seed = seed
        self.network = FakeNetwork(seed)
        self.store = FakeStore()
        self.services = build_services(sizes)
        self.host_ids = [
            (f"{zone}-{index}", zone)
            for zone in ZONES
            for index in range(hosts_per_zone)
        ]
        self.seeds = [
            self.network.seed(host_id, zone) for host_id, zone in self.host_ids
        ]
        self.hosts: dict[str, Host] = {}
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.fabric = None
        self.caller = None

    async def start(self) -> None:
        self.fabric = Fabric(FABRIC_RETURN, self.seed, self._socket_of("fabric"))
        self.caller = Caller(
            FABRIC_RETURN,
            CALLER_ADDRESS,
            self.seed,
            open_socket=self._socket_of("caller"),
        )
        self._start_upstreams()
        for host_id, zone in self.host_ids:
            self.hosts[host_id] = self.build_host(host_id, zone)
        for host in self.hosts.values():
            await host.start()
        self.update_fabric()

    def build_host(self, host_id: str, zone: str) -> Host:
        environment = self.network.environment(host_id, zone, self.store, self.seeds)
        membership = StaticMembership(environment.settings)
        ownership = Ownership(environment, membership)
        configuration = Configuration(Revision(1), self.services)
        host = Host(
            environment,
            membership,
            StaticLeases(ownership.is_first),
            StaticSource(configuration),
        )
        for shard in {
            configuration.shard_of(upstream)
            for upstream in configuration.upstreams.values()
        }:
            if ownership.is_first(shard):
                host.lease_acquired(shard, 1)
        return host

    def update_fabric(self) -> None:
        """Give the fabric the list of hosts that are running."""
        self.fabric.set_hosts(
            [
                {
                    "host_id": host_id,
                    "zone": host.environment.settings.zone,
                    "fabric": str(host.environment.settings.fabric_listen),
                }
                for host_id, host in self.hosts.items()
            ]
        )

    def open_flow(self, service: str, index: int):
        address = Address(f"10.99.{index >> 8}.{index & 255}", 20000)
        return self.caller.open_flow(
            service, self.services[ServiceId(service)].address, address
        )

    def _start_upstreams(self) -> None:
        for service in self.services.values():
            for upstream in service.upstreams.values():
                spec = UpstreamSpec(
                    upstream.upstream_id,
                    upstream.address,
                    service.service_id,
                    upstream.zone,
                    upstream.slots,
                    service.address,
                )
                self.upstreams[upstream.upstream_id] = Upstream(
                    spec,
                    self.seed,
                    self._socket_of(upstream.upstream_id, upstream.zone),
                )

    def _socket_of(self, name: str, zone: str = "outside"):
        node = self.network._node(name, zone)
        return lambda address, receive: FakeDatagramPort(
            self.network, node, address, receive
        )
