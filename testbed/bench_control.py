"""Cost of the control paths of whole hosts, one factor at a time.

``python -m testbed.bench_control --factor hosts`` runs whole hosts with stand-ins on
virtual time in this process, changes one factor, and prints each point and a
least-squares line. The rates are per host and second. Bytes are what a host sends and
receives, with headers; a TCP frame is counted as a segment of its own, which is an
upper bound. The CPU time covers the in-memory network, the virtual event loop and the
stand-in upstreams as well, so it is an upper bound too.
"""

import argparse
import asyncio
import gc
import itertools
import random
import socket
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass

import msgpack
from absl import logging

from tests.fakes import (
    PEER_PORT,
    UPSTREAM_PORT,
    FakeDatagramSocket,
    FakeNetwork,
    run_virtual,
)
from tests.fleet import ZONES, Fleet, build_services
from wisteriatiller.configuration.config import (
    Configuration,
    RequestMode,
    Service,
    Upstream,
)
from wisteriatiller.configuration.configrecord import (
    ConfigRecord,
    decode_record,
    encode_record,
)
from wisteriatiller.ids import (
    Address,
    FlowKey,
    Revision,
    ServiceId,
    SubmissionId,
    UpstreamId,
    ZoneId,
)
from wisteriatiller.owners.shard import OwnedShard
from wisteriatiller.owners.shardtable import ShardTable
from wisteriatiller.store.submission import Submitted, new_submission_id, submit
from wisteriatiller.transport import proxyheader

# IPv4 with UDP, and IPv4 with TCP and timestamps, of each datagram or segment.
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 52
# Length and digest of a frame on a stream, which the in-memory network leaves out.
FRAME_HEADER_BYTES = 20
# Updates about the start are still passed on for a while.
SETTLE_S = 20.0
SOURCE = Address("10.200.0.2", 7000)
CODE_GET = 1
CODE_POST = 2
# Fewer than the slots of all upstreams can answer, so that nothing waits or is refused.
SLOTS = 16
MECHANISMS = (
    "membership",
    "leases",
    "replication",
    "loads",
    "configuration",
    "flows",
    "health",
)
# By the tens of the message kind; ``flows`` are claims, openings away from home, pins
# and checks, and kind 40 relays callers' datagrams on the data path.
_BY_KIND = {
    2: "membership",
    3: "leases",
    4: "flows",
    5: "replication",
    6: "configuration",
    7: "loads",
}
FORWARD_KIND = 40


class CountingNetwork(FakeNetwork):
    """Counts messages and bytes by mechanism, as sent and received by hosts."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        # Bytes of lease frames by host: the grantors carry more than the others.
        self.lease_bytes: Counter[str] = Counter()

    def send_datagram(self, port, data, address):
        ports = {port.address.port, address.port}
        if PEER_PORT in ports:
            self._count("membership", 2, len(data) + UDP_HEADER_BYTES)
        elif UPSTREAM_PORT in ports and data[12] == proxyheader.COMMAND_LOCAL:
            # Only one end of a probe is a host.
            self._count("health", 1, len(data) + UDP_HEADER_BYTES)
        else:
            self._count("data", 1, len(data) + UDP_HEADER_BYTES)
        super().send_datagram(port, data, address)

    def send_frame(self, source, host_id, frame):
        kind = msgpack.unpackb(msgpack.unpackb(frame)[3])[1]
        name = "data" if kind == FORWARD_KIND else _BY_KIND[kind // 10]
        size_bytes = len(frame) + FRAME_HEADER_BYTES + TCP_HEADER_BYTES
        self._count(name, 2, size_bytes)
        if name == "leases":
            self.lease_bytes[source.host_id] += size_bytes
            self.lease_bytes[host_id] += size_bytes
        super().send_frame(source, host_id, frame)

    def _count(self, name: str, ends: int, size_bytes: int) -> None:
        self.messages[name] += ends
        self.bytes[name] += ends * size_bytes


@dataclass(frozen=True)
class Point:
    """The values of all factors; the rates are those of the whole fleet.

    Shards and upstreams are given per host, so that more hosts do not mean fewer of
    them for each.
    """

    hosts: int = 12
    shards_per_host: int = 2
    upstreams_per_host: int = 5
    upstreams_per_service: int = 5
    open_flows: int = 0
    new_flows_per_s: int = 0
    writes_per_s: int = 0
    changes_per_min: int = 0


# The other factors keep their defaults, so that each line has one cause.
FACTORS = {
    "hosts": (6, 12, 24, 48, 96),
    "shards_per_host": (1, 2, 4, 8),
    "upstreams_per_host": (5, 10, 20, 40),
    "upstreams_per_service": (5, 10, 20, 30),
    "open_flows": (0, 1000, 2000, 4000),
    # Up to the 58 new flows a second and host of the target size.
    "new_flows_per_s": (0, 120, 360, 720),
    "writes_per_s": (0, 30, 60, 120),
    "changes_per_min": (0, 6, 12, 24),
}
QUICK_FACTORS = {
    "hosts": (6, 12, 24),
    "shards_per_host": (1, 2, 4),
    "upstreams_per_host": (5, 10, 20),
    "open_flows": (0, 500, 1000),
    "new_flows_per_s": (0, 120, 240),
    "changes_per_min": (0, 6, 12),
}


class MeasuredFleet(Fleet):
    """A fleet on a counting network, with a source of plain requests."""

    def __init__(self, seed: int, point: Point):
        count = point.hosts * point.upstreams_per_host // point.upstreams_per_service
        size = (point.upstreams_per_service, SLOTS)
        services = build_services({f"service-{i}": size for i in range(count)})
        super().__init__(seed, point.hosts // len(ZONES), services)
        self.network = CountingNetwork(seed)
        self.seeds = [
            self.network.seed(host_id, zone) for host_id, zone in self.zone_of.items()
        ]
        self.point = point
        self._random = random.Random(f"traffic {seed}")
        self._flows = itertools.count()
        self._tasks: list[asyncio.Task] = []

    async def submit(self, services, text: str | None = None) -> Submitted:
        self.revision += 1
        configuration = Configuration(
            services=services,
            text=text or f"text {self.revision}",
            shard_count=self.point.shards_per_host * self.point.hosts // len(ZONES),
        )
        outcome = await submit(
            self.store.client("operator"), configuration, new_submission_id()
        )
        if isinstance(outcome, Submitted):
            self.services = services
            self.revision = outcome.revision
        return outcome

    async def run_traffic(self) -> None:
        """Open the flows, and start the rates."""
        self._source = FakeDatagramSocket(
            self.network,
            self.network._node("source", "outside"),
            SOURCE,
            lambda data, address: None,
        )
        for index in range(self.point.open_flows):
            self.request(next(self._flows), CODE_GET, 1)
            if index % 50 == 49:
                await asyncio.sleep(0.1)
        loops = (
            (self.point.new_flows_per_s, self._open_flow),
            (self.point.writes_per_s, self._write),
            (self.point.changes_per_min / 60, self._change),
        )
        for rate, act in loops:
            if rate:
                task = asyncio.get_running_loop().create_task(self._repeat(rate, act))
                self._tasks.append(task)

    def request(self, flow: int, code: int, message_id: int) -> None:
        """Send a request of a flow to a random host, as the fabric does."""
        services = list(self.services.values())
        address = services[flow % len(services)].address
        key = (
            bytes((10, 99, flow >> 8 & 255, flow & 255))
            + socket.inet_aton(address.ip)
            + (20000 + (flow >> 16)).to_bytes(2, "big")
            + address.port.to_bytes(2, "big")
        )
        payload = bytes((0x42, code)) + message_id.to_bytes(2, "big") + b"tk\xb5price"
        host = self._random.choice(list(self.hosts.values()))
        self._source.send(
            proxyheader.make_header(FlowKey(key)) + payload,
            host.environment.settings.fabric_listen,
        )

    async def finish(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()
            task.cancel()
        for host in self.hosts.values():
            await host.close()

    def open_count(self) -> int:
        return sum(
            owned.flows.open_count(upstream_id)
            for host in self.hosts.values()
            for owned in host.shards
            for upstream_id in self.upstreams
        )

    async def _repeat(self, rate: float, act) -> None:
        for number in itertools.count(1):
            await asyncio.sleep(1 / rate)
            await act(number)

    async def _open_flow(self, number: int) -> None:
        self.request(next(self._flows), CODE_GET, 1)

    async def _write(self, number: int) -> None:
        # A few flows write in turn, so that few are opened meanwhile.
        self.request(number % 100, CODE_POST, 100 + number // 100)

    async def _change(self, number: int) -> None:
        name = self._random.choice(sorted(self.upstreams))
        await self.change_upstream(UpstreamId(name), weight=1.0 + number % 2)


async def measure(point: Point, seed: int, length_s: float) -> dict[str, float]:
    fleet = MeasuredFleet(seed, point)
    await fleet.start()
    await fleet.run_traffic()
    await asyncio.sleep(SETTLE_S)
    network, store = fleet.network, fleet.store
    before = Counter(network.messages), Counter(network.bytes), store.reads
    network.lease_bytes.clear()
    gc.collect()
    cpu_s = time.process_time()
    await asyncio.sleep(length_s)
    cpu_s = time.process_time() - cpu_s
    host_s = len(fleet.hosts) * length_s
    messages = network.messages - before[0]
    sizes = network.bytes - before[1]
    values = {
        "cpu_ms_per_s": 1000 * cpu_s / host_s,
        "bytes_per_s": sum(sizes[name] for name in MECHANISMS) / host_s,
        "messages_per_s": sum(messages[name] for name in MECHANISMS) / host_s,
    }
    for name in MECHANISMS:
        values[f"{name}_bytes_per_s"] = sizes[name] / host_s
        values[f"{name}_messages_per_s"] = messages[name] / host_s
    values["grantor_lease_bytes_per_s"] = max(network.lease_bytes.values()) / length_s
    values["data_bytes_per_s"] = sizes["data"] / host_s
    values["store_reads_per_s"] = (store.reads - before[2]) / length_s
    values["open_flows"] = fleet.open_count()
    await fleet.finish()
    return values


async def measure_memory(point: Point, seed: int) -> dict[str, float]:
    """Bytes allocated for each whole host, with its share of the stand-ins."""
    gc.collect()
    tracemalloc.start()
    fleet = MeasuredFleet(seed, point)
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0] / len(fleet.hosts)
    await fleet.finish()
    tracemalloc.stop()
    return {"memory_kb": size_bytes / 1000}


def text_of(values: dict) -> str:
    return " ".join(f"{name}={value:.4g}" for name, value in values.items())


def print_lines(bench: str, factor: str, seed: int, xs, results) -> dict[str, tuple]:
    """Print the least-squares line of each quantity that changes."""
    lines = {}
    for name in results[0]:
        ys = [result[name] for result in results]
        if len(set(ys)) < 2:
            continue
        line = statistics.linear_regression(xs, ys)
        r_squared = statistics.correlation(xs, ys) ** 2
        lines[name] = (line.slope, line.intercept, r_squared)
        print(
            f"bench={bench}_slope factor={factor} seed={seed} quantity={name} "
            f"slope={line.slope:.4g} intercept={line.intercept:.4g} "
            f"r_squared={r_squared:.3f}",
            flush=True,
        )
    return lines


def bench_factor(factor: str, xs, seed: int, length_s: float) -> list[dict]:
    results = []
    for x in xs:
        point = Point(**{factor: x})
        values = run_virtual(measure(point, seed, length_s), seed=seed)
        results.append(values)
        print(f"bench=control factor={factor} seed={seed} x={x} {text_of(values)}")
    print_lines("control", factor, seed, xs, results)
    return results


def bench_memory(seed: int, factors) -> None:
    for factor in ("hosts", "upstreams_per_host"):
        xs = factors[factor]
        results = []
        for x in xs:
            point = Point(**{factor: x})
            results.append(run_virtual(measure_memory(point, seed), seed=seed))
            print(
                f"bench=control_memory factor={factor} seed={seed} x={x} "
                f"{text_of(results[-1])}"
            )
        print_lines("control_memory", factor, seed, xs, results)
    code = "import resource, wisteriatiller.operations.cli;"
    code += "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    command = [sys.executable, "-c", code]
    answer = subprocess.run(command, capture_output=True, text=True, check=True)
    print(f"bench=control_memory process_rss_kb={answer.stdout.strip()}", flush=True)


# Of the target size: nine zones, and addresses with four to five upstreams each.
CONFIG_ZONES = 9
CONFIG_UPSTREAMS_PER_SERVICE = 5
CONFIG_SHARD_COUNT = 256
CONFIG_SIZES = (1000, 4000, 16_000)


def large_configuration(upstreams: int) -> Configuration:
    """A configuration of the given size, with a text as the operators write it."""
    services = {}
    texts = []
    for number in range(upstreams // CONFIG_UPSTREAMS_PER_SERVICE):
        service_id = ServiceId(f"service-{number}")
        of_service = {}
        for index in range(CONFIG_UPSTREAMS_PER_SERVICE):
            total = number * CONFIG_UPSTREAMS_PER_SERVICE + index
            upstream_id = UpstreamId(f"{service_id}-{index + 1}")
            address = Address(f"10.{20 + (total >> 16)}.{total >> 8 & 255}.1", 7001)
            address = address._replace(port=7001 + (total & 255))
            zone = ZoneId(f"zone-{total % CONFIG_ZONES + 1}")
            of_service[upstream_id] = Upstream(
                upstream_id, service_id, address, zone, 3
            )
            texts.append(
                f'"{upstream_id}": {{"address": "{address}", "zone": "{zone}", '
                f'"slots": 3}}'
            )
        address = Address(f"10.10.{number >> 8}.{number & 255}", 5683)
        services[service_id] = Service(
            service_id, address, RequestMode.COAP, of_service
        )
        texts.append(f'"{service_id}": {{"address": "{address}"}}')
    return Configuration(
        Revision(1), services, CONFIG_SHARD_COUNT, text=",\n".join(texts)
    )


def take(configuration: Configuration) -> Configuration:
    """Build what a host looks up in a new configuration."""
    _ = configuration.upstream_by_address, configuration.service_by_address
    _ = configuration.placement_tables, configuration.upstreams_by_shard
    return configuration


class _Source:
    def __init__(self, configuration: Configuration):
        self.configuration = configuration

    def subscribe(self, listener) -> None:
        pass


def measure_configuration(upstreams: int) -> dict[str, float]:
    """The cost of one configuration at a host that takes it."""
    configuration = large_configuration(upstreams)
    data = encode_record(ConfigRecord(configuration, SubmissionId("bench")))
    cpu_s = time.process_time()
    decoded = take(decode_record(data).configuration)
    cpu_s = time.process_time() - cpu_s
    table = ShardTable(None, _Source(decoded), None, None)
    owned = OwnedShard(decoded.shard_of(next(iter(decoded.upstreams.values()))), None)
    table.upstreams_of(owned)
    scans = 10
    scan_s = time.process_time()
    for _ in range(scans):
        table.upstreams_of(owned)
    scan_s = (time.process_time() - scan_s) / scans
    del decoded, table
    gc.collect()
    tracemalloc.start()
    kept = take(decode_record(data).configuration)
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return {
        "record_kb": len(data) / 1000,
        "take_cpu_ms": 1000 * cpu_s,
        "find_shard_upstreams_ms": 1000 * scan_s,
        "memory_kb": size_bytes / 1000,
    }


def bench_configuration(seed: int) -> None:
    results = []
    for upstreams in CONFIG_SIZES:
        results.append(measure_configuration(upstreams))
        print(
            f"bench=control_configuration seed={seed} upstreams={upstreams} "
            f"{text_of(results[-1])}",
            flush=True,
        )
    print_lines("control_configuration", "upstreams", seed, CONFIG_SIZES, results)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--factor", action="append", choices=sorted(FACTORS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=20.0)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    factors = QUICK_FACTORS if options.quick else FACTORS
    for factor in options.factor or factors:
        bench_factor(factor, factors[factor], options.seed, options.length_s)
    bench_configuration(options.seed)
    if not options.no_memory:
        bench_memory(options.seed, factors)


if __name__ == "__main__":
    main()
