"""Several hosts with stand-ins around them in one process on virtual time.

The hosts are the program's own. Fabric, upstreams and callers are those of
``testbed``, on the in-memory network of ``fakes``::

    fleet = Fleet(seed=1)
    await fleet.start()
    flow = fleet.open_flow("stock-browser", index=7)
    answer = await flow.request(Code.GET, "price/oak-knob")
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, replace

from testbed.caller import Caller
from testbed.fabric import Fabric
from testbed.judge import Verdict, judge
from testbed.upstream import Upstream, UpstreamSpec
from tests.fakes import FABRIC_RETURN, FakeDatagramSocket, FakeNetwork, FakeStore
from wisteriatiller.configuration.config import (
    Configuration,
    RequestMode,
    Service,
    Upstream as UpstreamConfig,
)
from wisteriatiller.foundation.interfaces import StoreEntry
from wisteriatiller.ids import Address, ServiceId, UpstreamId, ZoneId
from wisteriatiller.operations.runtime import Host
from wisteriatiller.store.submission import Submitted, new_submission_id, submit

ZONES = ("quimper", "brest", "rennes")
CALLER_ADDRESS = Address("10.200.0.1", 7000)
SERVICE_SIZES = {"stock-browser": (7, 3), "sheet-service": (3, 3)}


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
            upstreams=upstreams,
            **{"mode": RequestMode.COAP} | options,
        )
    return services


async def wait_until(
    condition: Callable[[], bool], timeout_s: float, poll_s: float = 0.05
) -> float:
    """Wait for a condition on virtual time; return how long it took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition():
        if loop.time() - started_s > timeout_s:
            raise AssertionError(f"not within {timeout_s} s")
        await asyncio.sleep(poll_s)
    return loop.time() - started_s


class Fleet:
    """Hosts, upstreams, a fabric and callers on one in-memory network."""

    def __init__(self, seed: int, hosts_per_zone: int = 3, services=None):
        self.seed = seed
        self.network = FakeNetwork(seed)
        self.store = FakeStore()
        self.services = services or build_services()
        self.zone_of = {
            f"{zone}-{index}": zone for zone in ZONES for index in range(hosts_per_zone)
        }
        self.seeds = [
            self.network.seed(host_id, zone) for host_id, zone in self.zone_of.items()
        ]
        self.hosts: dict[str, Host] = {}
        self.leaving: set[str] = set()
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.stopped_upstreams: list[Upstream] = []
        self.revision = 0
        self._texts = 0
        self.fabric = None
        self.caller = None

    async def start(self) -> None:
        """Start everything and wait until every upstream has an owner."""
        self.fabric = Fabric(FABRIC_RETURN, self.seed, self._socket_of("fabric"))
        self.caller = Caller(
            FABRIC_RETURN,
            CALLER_ADDRESS,
            self.seed,
            open_socket=self._socket_of("caller"),
        )
        for service in self.services.values():
            for upstream_id in service.upstreams:
                self.start_upstream(upstream_id)
        self.hosts = dict.fromkeys(self.zone_of)
        await self.update_host_list()
        await asyncio.gather(*(self.start_host(host_id) for host_id in self.zone_of))
        await self.submit(self.services)
        await wait_until(self.is_in_force, 15.0)
        await wait_until(self.is_owned, 15.0)

    async def start_host(self, host_id: str) -> Host:
        """Start a host, also one that stopped or crashed before."""
        zone = self.zone_of[host_id]
        environment = self.network.environment(host_id, zone, self.store, self.seeds)
        host = self.hosts[host_id] = Host(environment)
        self.leaving.discard(host_id)
        await host.start()
        await self.update_host_list()
        return host

    async def crash_host(self, host_id: str) -> None:
        self.network.crash(host_id)
        await self.hosts.pop(host_id).close()

    async def stop_host(self, host_id: str) -> None:
        """Stop a host gracefully, after the platform has marked it as leaving."""
        self.leaving.add(host_id)
        await self.update_host_list()
        host = self.hosts[host_id]
        await host.stop()
        self.network.crash(host_id)
        await host.close()
        del self.hosts[host_id]

    async def update_host_list(self) -> None:
        """Write the platform's host list; the fabric follows it."""
        listed = [
            {
                "host_id": host_id,
                "zone": self.zone_of[host_id],
                "fabric": str(self.network.address(host_id, 7100)),
                "peer": str(self.network.address(host_id)),
                "admin": "127.0.0.1:1",
                "state": "leaving" if host_id in self.leaving else "live",
            }
            for host_id in self.zone_of
        ]
        running = [
            entry | {"fabric": str(self.hosts[h].environment.settings.fabric_listen)}
            for entry in listed
            if (h := entry["host_id"]) in self.hosts and self.hosts[h] is not None
        ]
        self.fabric.set_hosts(running)
        value = json.dumps(listed).encode()
        current = await self.store.get("platform/hosts")
        index = current.index if isinstance(current, StoreEntry) else 0
        await self.store.compare_and_swap("platform/hosts", value, index)

    async def submit(self, services, text: str | None = None) -> Submitted:
        """Submit services as the operators' next text."""
        self._texts += 1
        configuration = Configuration(
            services=services, text=text or f"text {self._texts}"
        )
        outcome = await submit(
            self.store.client("operator"), configuration, new_submission_id()
        )
        if isinstance(outcome, Submitted):
            self.services = services
            self.revision = outcome.revision
        return outcome

    async def change_upstream(self, upstream_id: str, **changes) -> Submitted:
        """Submit the services with one upstream changed."""
        services = dict(self.services)
        for service_id, service in services.items():
            upstream = service.upstreams.get(UpstreamId(upstream_id))
            if upstream is not None:
                upstreams = dict(service.upstreams)
                upstreams[upstream.upstream_id] = replace(upstream, **changes)
                services[service_id] = replace(service, upstreams=upstreams)
        return await self.submit(services)

    def is_in_force(self) -> bool:
        """Whether every running host has the latest revision."""
        return all(
            host.source.configuration.revision >= self.revision
            for host in self.hosts.values()
        )

    def is_owned(self) -> bool:
        """Whether each upstream has exactly one owner that may dispatch."""
        return all(self.owners(upstream_id) for upstream_id in self.upstreams)

    def owners(self, upstream_id: str) -> list[str]:
        return [
            host_id
            for host_id, host in self.hosts.items()
            if host.shards.get_by_upstream(UpstreamId(upstream_id)) is not None
        ]

    def open_flow(self, service: str, index: int):
        address = Address(f"10.99.{index >> 8}.{index & 255}", 20000)
        return self.caller.open_flow(
            service, self.services[ServiceId(service)].address, address
        )

    def start_upstream(self, upstream_id: UpstreamId) -> Upstream:
        """Start an upstream, also one that crashed before; it knows no session."""
        service = next(
            service
            for service in self.services.values()
            if upstream_id in service.upstreams
        )
        upstream = service.upstreams[upstream_id]
        spec = UpstreamSpec(
            upstream_id,
            upstream.address,
            service.service_id,
            upstream.zone,
            upstream.slots,
            service.address,
            mode=service.mode.value,
        )
        open_socket = self._socket_of(upstream_id, upstream.zone)
        self.upstreams[upstream_id] = Upstream(spec, self.seed, open_socket)
        return self.upstreams[upstream_id]

    def crash_upstream(self, upstream_id: UpstreamId) -> None:
        upstream = self.upstreams.pop(upstream_id)
        upstream.close()
        self.stopped_upstreams.append(upstream)

    def verdict(self) -> Verdict:
        """Compare the records of callers and upstreams."""
        records = {}
        running = list(self.upstreams.values())
        for number, upstream in enumerate([*self.stopped_upstreams, *running]):
            records[f"{upstream.spec.upstream_id}/{number}"] = upstream.record_json()
        return judge([asdict(self.caller.record)], records)

    def _socket_of(self, name: str, zone: str = "outside"):
        node = self.network._node(name, zone)
        return lambda address, receive: FakeDatagramSocket(
            self.network, node, address, receive
        )
