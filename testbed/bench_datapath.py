"""Cost of the data path: datagrams per CPU second, added latency, bytes per record.

``python -m testbed.bench_datapath --count 40000`` measures, in one run, a plain
single-socket forwarder, the ingress's opaque path with a fresh pin, and the coap path
through an owner on the same host and on another one. Two whole hosts with real
sockets run in this process; the datagrams come from ``datapathdriver``. CPU time is
that of this process, so the relayed path counts both hosts.
"""

import argparse
import asyncio
import gc
import json
import os
import socket
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from testbed.cluster import ROOT, free_subnet
from tests.fakes import FakeStore
from wisteriatiller.configuration.config import (
    Configuration,
    RequestMode,
    Service,
    Upstream,
)
from wisteriatiller.configuration.settings import HostSettings, Seed
from wisteriatiller.foundation.environment import Environment
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import Address, FlowKey, HostId, ServiceId, UpstreamId, ZoneId
from wisteriatiller.operations.runtime import Host
from wisteriatiller.owners.backups import BackupShard, ReplicaPart
from wisteriatiller.owners.flows import FlowRecord, FlowState, FlowTable
from wisteriatiller.placement import rank_hosts, shard_of
from wisteriatiller.requests.duplicates import (
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from wisteriatiller.store.platformhosts import HOSTS_KEY
from wisteriatiller.store.submission import new_submission_id, submit
from wisteriatiller.transport.datagrams import UdpSocketFactory
from wisteriatiller.transport.tcpmessenger import TcpPeerMessenger

ZONE = ZoneId("brest")
HOSTS = (HostId("host-1"), HostId("host-2"))
SHARD_COUNT = 16
# No request is to wait for a slot, since waiting is not a cost of the data path.
SLOTS = 256
WINDOW = 64
FLOWS = 1000
PAYLOAD_BYTES = 64
MAX_DATAGRAMS_PER_WAKEUP = 64
MAX_DATAGRAM_BYTES = 65535
START_TIMEOUT_S = 30.0
MEMORY_RECORDS = 50_000


class PlainForwarder:
    """Passes each datagram of one socket on to one address."""

    def __init__(self, address: Address, target: Address):
        self._target = tuple(target)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, 8 * 1024 * 1024)
        self._socket.bind((address.ip, address.port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, _sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            self._socket.sendto(data, self._target)


@dataclass(frozen=True)
class Path:
    """One way of a datagram from the driver back to the driver."""

    name: str
    target: Address
    keys: list[FlowKey]
    coap: bool = False


class Testbed:
    """Two hosts of one zone in this process, and the driver in another."""

    def __init__(self, subnet: str):
        self.subnet = subnet
        self.sink = Address(f"{subnet}.0.1", 7000)
        self.plain = Address(f"{subnet}.0.2", 7000)
        self.store = FakeStore()
        self.hosts: dict[HostId, Host] = {}
        self._peers: list[TcpPeerMessenger] = []
        self.upstreams = {
            "opaque": self._upstream("opaque", 1, HOSTS[0]),
            "local": self._upstream("local", 2, HOSTS[0]),
            "remote": self._upstream("remote", 3, HOSTS[1]),
        }
        self._driver: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = dict(os.environ)
        environment["PYTHONPATH"] = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        addresses = [self.sink] + [u.address for u in self.upstreams.values()]
        self._driver = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "testbed.datapathdriver", *map(str, addresses)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environment,
            cwd=ROOT,
            limit=1 << 26,
        )
        listed = [
            {
                "host_id": host_id,
                "zone": ZONE,
                "admin": "127.0.0.1:1",
                "state": "live",
            }
            for host_id in HOSTS
        ]
        await self.store.compare_and_swap(HOSTS_KEY, json.dumps(listed).encode(), 0)
        await asyncio.gather(*(self._start_host(host_id) for host_id in HOSTS))
        services = {
            ServiceId(name): Service(
                ServiceId(name),
                self._service_address(name),
                RequestMode.OPAQUE if name == "opaque" else RequestMode.COAP,
                {upstream.upstream_id: upstream},
            )
            for name, upstream in self.upstreams.items()
        }
        configuration = Configuration(
            services=services, shard_count=SHARD_COUNT, text="bench"
        )
        await submit(self.store.client("operator"), configuration, new_submission_id())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._is_ready():
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        for host in self.hosts.values():
            await host.close()
        for peers in self._peers:
            await peers.close()
        self._driver.stdin.close()
        await self._driver.wait()

    async def drive(self, path: Path, count: int, window: int) -> dict:
        """Send ``count`` datagrams; the driver's result and the CPU time spent."""
        job = {
            "target": [path.target.ip, path.target.port],
            "keys": [key.hex() for key in path.keys],
            "count": count,
            "window": window,
            "coap": path.coap,
            "payload_bytes": PAYLOAD_BYTES,
        }
        self._driver.stdin.write(json.dumps(job).encode() + b"\n")
        cpu_s = time.process_time()
        line = await self._driver.stdout.readline()
        cpu_s = time.process_time() - cpu_s
        return {**json.loads(line), "cpu_s": cpu_s}

    def paths(self) -> list[Path]:
        fabric = self.hosts[HOSTS[0]].environment.settings.fabric_listen
        opaque = self.keys("opaque")
        return [
            Path("plain", self.plain, opaque),
            Path("ingress_opaque", fabric, opaque),
            Path("coap_local_owner", fabric, self.keys("local"), coap=True),
            Path("coap_relayed", fabric, self.keys("remote"), coap=True),
        ]

    def keys(self, name: str) -> list[FlowKey]:
        service = self._service_address(name)
        tail = socket.inet_aton(service.ip), service.port.to_bytes(2, "big")
        return [
            FlowKey(
                bytes((10, 99, number >> 8, number & 255))
                + tail[0]
                + (20000).to_bytes(2, "big")
                + tail[1]
            )
            for number in range(FLOWS)
        ]

    def pin_all(self) -> None:
        """Pin the opaque flows anew, so that none is due for a refresh."""
        upstream_id = self.upstreams["opaque"].upstream_id
        for key in self.keys("opaque"):
            self.hosts[HOSTS[0]].ingress.pin(key, upstream_id)

    def _upstream(self, name: str, number: int, owner: HostId) -> Upstream:
        """An upstream whose ownership shard the given host ranks first for."""
        for attempt in range(1000):
            upstream_id = UpstreamId(f"{name}-{attempt}")
            shard = shard_of(upstream_id, ZONE, SHARD_COUNT)
            if rank_hosts(str(shard), HOSTS)[0] == owner:
                address = Address(f"{self.subnet}.2.{number}", 7001)
                return Upstream(upstream_id, ServiceId(name), address, ZONE, SLOTS)
        raise AssertionError(f"no shard of {owner}")

    def _service_address(self, name: str) -> Address:
        return Address(f"10.10.0.{list(self.upstreams).index(name) + 1}", 5683)

    def _is_ready(self) -> bool:
        wanted = zip(self.upstreams.values(), (0, 0, 1), strict=True)
        return all(
            self.hosts[HOSTS[index]].shards.get_by_upstream(upstream.upstream_id)
            for upstream, index in wanted
        )

    async def _start_host(self, host_id: HostId) -> None:
        ip = f"{self.subnet}.1.{HOSTS.index(host_id) + 1}"
        settings = HostSettings(
            host_id=host_id,
            zone=ZONE,
            fabric_listen=Address(ip, 6000),
            upstream_listen=Address(ip, 6001),
            peer_listen=Address(ip, 6002),
            admin_listen=Address(ip, 6003),
            fabric_return=(self.sink,),
            seeds=tuple(
                Seed(other, ZONE, Address(f"{self.subnet}.1.{number}", 6002))
                for number, other in enumerate(HOSTS, 1)
            ),
            store_urls=("http://127.0.0.1:1",),
            peer_keys=(bytes(32),),
        )
        metrics = InMemoryMetrics()
        peers = TcpPeerMessenger(settings, metrics)
        environment = Environment(
            settings=settings,
            datagrams=UdpSocketFactory(metrics),
            peers=peers,
            store=self.store.client(host_id),
            metrics=metrics,
        )
        host = self.hosts[host_id] = Host(environment)
        peers.address_of = host.membership.address_of
        self._peers.append(peers)
        await peers.start()
        await host.start()


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def bench_paths(count: int, rounds: int, pings: int) -> dict[str, float]:
    """Measure every path in turn, several times; return datagrams per CPU second."""
    testbed = Testbed(free_subnet())
    await testbed.start()
    forwarder = PlainForwarder(testbed.plain, testbed.upstreams["opaque"].address)
    rates: dict[str, list[float]] = {}
    for path in testbed.paths():
        # Opens the flows.
        await testbed.drive(path, 2 * FLOWS, WINDOW // 2)
    for number in range(rounds):
        for path in testbed.paths():
            testbed.pin_all()
            gc.collect()
            size = count // 4 if path.coap else count
            result = await testbed.drive(path, size, WINDOW)
            rate = result["received"] / result["cpu_s"]
            rates.setdefault(path.name, []).append(rate)
            print(
                f"bench=datapath path={path.name} round={number} "
                f"datagrams={result['received']} lost={result['lost']} "
                f"refused={result['refused']} cpu_s={result['cpu_s']:.3f} "
                f"per_cpu_s={rate:.0f} cpu_us={1e6 / rate:.1f}",
                flush=True,
            )
    medians = {name: statistics.median(values) for name, values in rates.items()}
    for name, rate in medians.items():
        # Pairs of one round, since the speed of a busy machine changes between rounds.
        share = statistics.median(
            value / plain
            for value, plain in zip(rates[name], rates["plain"], strict=True)
        )
        print(
            f"bench=datapath_median path={name} per_cpu_s={rate:.0f} "
            f"cpu_us={1e6 / rate:.1f} share_of_plain={share:.3f}"
        )
    await bench_latency(testbed, pings)
    forwarder.close()
    await testbed.close()
    return medians


async def bench_latency(testbed: Testbed, pings: int) -> None:
    """Round trips one after the other, against one without any forwarder."""
    paths = [Path("none", testbed.sink, testbed.keys("opaque")), *testbed.paths()]
    base: dict[float, float] = {}
    for path in paths:
        testbed.pin_all()
        result = await testbed.drive(path, pings, 1)
        times_us = result["times_us"]
        values = {share: percentile(times_us, share) for share in (0.5, 0.99)}
        base = base or values
        print(
            f"bench=datapath_latency path={path.name} pings={len(times_us)} "
            f"lost={result['lost']} p50_us={values[0.5]:.0f} "
            f"p99_us={values[0.99]:.0f} "
            f"added_p50_us={values[0.5] - base[0.5]:.0f} "
            f"added_p99_us={values[0.99] - base[0.99]:.0f}",
            flush=True,
        )


def measure_bytes(fill: Callable[[list], object], count: int) -> float:
    """Bytes per record, with the key, of what ``fill`` builds from the keys."""
    numbers = list(range(count))
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = fill(numbers)
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return size_bytes / count


def key_of(number: int) -> FlowKey:
    return FlowKey(b"\x0a" + number.to_bytes(4, "big") + bytes(7))


UPSTREAM_ID = UpstreamId("stock-browser-1")
# An answer with a short payload, as most price lines have.
ANSWER_BYTES = 64


def fill_flows(numbers: list[int]) -> FlowTable:
    flows = FlowTable()
    for number in numbers:
        flows.put(
            key_of(number), FlowRecord(FlowState.OPEN, UPSTREAM_ID, float(number))
        )
    return flows


def fill_duplicates(numbers: list[int]) -> DuplicateTable:
    duplicates = DuplicateTable()
    for number in numbers:
        record = RequestRecord(
            RequestState.ANSWERED, UPSTREAM_ID, float(number), bytes(ANSWER_BYTES)
        )
        duplicates.put(RequestKey(key_of(number), number & 0xFFFF), record)
    return duplicates


def fill_backup_flows(numbers: list[int]) -> BackupShard:
    backup = BackupShard(HOSTS[0], 1, 0.0)
    for number in numbers:
        flow = (key_of(number), 0, UPSTREAM_ID, 0, False, False)
        backup.apply(ReplicaPart(0, 1, False, True, True, 0, [flow], []), float(number))
    return backup


def fill_backup_requests(numbers: list[int]) -> BackupShard:
    backup = BackupShard(HOSTS[0], 1, 0.0)
    for number in numbers:
        head = (0, 2, bytes((number & 255, 1)))
        request = (
            *(key_of(number), number & 0xFFFF, 3, UPSTREAM_ID, 0),
            *(bytes(ANSWER_BYTES), head),
        )
        backup.apply(
            ReplicaPart(0, 1, False, True, True, 0, [], [request]), float(number)
        )
    return backup


async def bench_pins(count: int) -> float:
    testbed = Testbed(free_subnet())
    await testbed.start()
    upstream_id = testbed.upstreams["opaque"].upstream_id
    ingress = testbed.hosts[HOSTS[0]].ingress

    def fill(numbers: list[int]):
        for number in numbers:
            ingress.pin(key_of(number), upstream_id)

    size_bytes = measure_bytes(fill, count)
    await testbed.close()
    return size_bytes


def bench_memory(count: int) -> None:
    """Print the bytes per record of each table, with the keys that it holds."""
    sizes = {
        "pin": asyncio.run(bench_pins(count)),
        "open_flow": measure_bytes(fill_flows, count),
        "duplicate": measure_bytes(fill_duplicates, count),
        "replica_flow": measure_bytes(fill_backup_flows, count),
        "replica_request": measure_bytes(fill_backup_requests, count),
    }
    for name, size_bytes in sizes.items():
        print(
            f"bench=datapath_memory record={name} records={count} "
            f"bytes_per_record={size_bytes:.0f}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=40_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--pings", type=int, default=3000)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    asyncio.run(bench_paths(options.count, options.rounds, options.pings))
    bench_memory(MEMORY_RECORDS)


if __name__ == "__main__":
    main()
