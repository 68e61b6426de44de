"""Cost of membership and of frames between hosts.

``python -m testbed.bench_membership --hosts 10,30,100`` runs clusters of virtual hosts
in this process. The CPU time covers the in-memory network and the virtual event loop
as well, so it is an upper bound for the protocol. The event rates are those of the
whole fleet and do not grow with the number of hosts.
"""

import argparse
import asyncio
import gc
import itertools
import random
import statistics
import time
from dataclasses import replace

from absl import logging

from tests.fakes import FakeNetwork, run_virtual
from wisteriatiller.foundation.messages import Message, message
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import Address
from wisteriatiller.membership.swim import SwimMembership
from wisteriatiller.transport.tcpmessenger import TcpPeerMessenger

# IPv4 and UDP headers, which the counters of the program leave out.
HEADER_BYTES = 28
RESTART_PAUSE_S = 1.0
LOOPBACK = Address("127.0.0.1", 0)


@message(251)
class Load(Message):
    number: int
    payload: bytes


class Cluster:
    """Virtual hosts with membership; restarted hosts keep their counters."""

    def __init__(self, count: int, zones: int, seed: int):
        self.network = FakeNetwork(seed)
        self.random = random.Random(f"events {seed}")
        self.zones = {f"h{i}": f"z{i % zones}" for i in range(count)}
        self.seeds = [
            self.network.seed(name, zone) for name, zone in list(self.zones.items())[:3]
        ]
        self.hosts: dict[str, SwimMembership] = {}
        self.metrics: list[InMemoryMetrics] = []
        self.revision = 0
        self.restarts = 0

    async def start_host(self, name: str) -> None:
        environment = self.network.environment(name, self.zones[name], seeds=self.seeds)
        self.metrics.append(environment.metrics)
        self.hosts[name] = SwimMembership(environment)
        await self.hosts[name].start()

    async def restart_some(self, rate_s: float) -> None:
        """Restart random hosts at even intervals, every second one by a crash."""
        restarts = []
        for count in itertools.count():
            await asyncio.sleep(1 / rate_s)
            name = self.random.choice(list(self.hosts))
            restarts.append(asyncio.create_task(self.restart(name, bool(count % 2))))
            self.restarts += 1

    async def restart(self, name: str, crash: bool) -> None:
        host = self.hosts.pop(name)
        if crash:
            self.network.crash(name)
            host.close()
        else:
            await host.leave()
            await host.stop()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self.start_host(name)

    async def publish_some(self, rate_s: float) -> None:
        while True:
            await asyncio.sleep(1 / rate_s)
            self.revision += 1
            host = self.random.choice(list(self.hosts.values()))
            host.publish("config", self.revision, self.revision)

    def total(self, name: str) -> int:
        return sum(metrics.counters().get(name, 0) for metrics in self.metrics)


COUNTERS = (
    "membership.bytes_sent",
    "membership.bytes_received",
    "membership.datagrams_sent",
    "membership.datagrams_received",
    "peers.bytes_sent",
)


async def measure(count: int, options) -> dict[str, float]:
    cluster = Cluster(count, options.zones, options.seed)
    for name in cluster.zones:
        await cluster.start_host(name)
    await asyncio.sleep(options.settle_s)
    events = [
        asyncio.create_task(run(rate_s))
        for run, rate_s in (
            (cluster.restart_some, options.restarts_per_s),
            (cluster.publish_some, options.publishes_per_s),
        )
        if rate_s
    ]
    before = {name: cluster.total(name) for name in COUNTERS}
    gc.collect()
    cpu_s = time.process_time()
    await asyncio.sleep(options.length_s)
    cpu_s = time.process_time() - cpu_s
    host_s = count * options.length_s
    change = {name: (cluster.total(name) - before[name]) / host_s for name in COUNTERS}
    for task in events:
        if task.done():
            task.result()
        task.cancel()
    sent = change["membership.datagrams_sent"]
    received = change["membership.datagrams_received"]
    payload = change["membership.bytes_sent"] + change["membership.bytes_received"]
    return {
        "bytes_per_s": payload
        + HEADER_BYTES * (sent + received)
        + 2 * change["peers.bytes_sent"],
        "datagrams_per_s": sent + received,
        "cpu_percent": 100 * cpu_s / host_s,
        "restarts": cluster.restarts,
        "publishes": cluster.revision,
    }


def bench_hosts(options) -> None:
    results = []
    counts = [int(count) for count in options.hosts.split(",")]
    for count in counts:
        result = run_virtual(measure(count, options), seed=options.seed)
        results.append(result)
        values = " ".join(f"{name}={value:.3f}" for name, value in result.items())
        print(
            f"bench=membership hosts={count} zones={options.zones} seed={options.seed} "
            f"restarts_per_s={options.restarts_per_s} "
            f"publishes_per_s={options.publishes_per_s} {values}",
            flush=True,
        )
    if len(counts) > 1:
        for name in results[0]:
            line = statistics.linear_regression(
                counts, [result[name] for result in results]
            )
            print(
                f"bench=membership_slope quantity={name} seed={options.seed} "
                f"per_host={line.slope:.6f} base={line.intercept:.3f}"
            )


async def bench_frames(count: int, size_bytes: int) -> None:
    """Frames one way, then calls one after the other, over loopback."""
    settings = FakeNetwork().environment("a", "z").settings
    addresses = {}
    nodes = []
    for name in ("a", "b"):
        node_settings = replace(settings, host_id=name, peer_listen=LOOPBACK)
        node = TcpPeerMessenger(node_settings, InMemoryMetrics(), addresses.get)
        await node.start()
        addresses[name] = node.address
        nodes.append(node)
    first, second = nodes
    done = asyncio.Event()
    received = 0

    def take(sender, load):
        nonlocal received
        received += 1
        if received >= count:
            done.set()
        return load

    second.register(Load, take)
    await first.call("b", Load(0, b""), 5.0)
    payload = bytes(size_bytes)
    cpu_s, wall_s = time.process_time(), time.perf_counter()
    for number in range(count):
        first.send("b", Load(number, payload))
        if number % 500 == 499:
            await asyncio.sleep(0)
    async with asyncio.timeout(60):
        await done.wait()
    cpu_s, wall_s = time.process_time() - cpu_s, time.perf_counter() - wall_s
    print(
        f"bench=frames size_bytes={size_bytes} frames={count} "
        f"frames_per_s={count / wall_s:.0f} "
        f"cpu_us_per_frame_both_ends={cpu_s / count * 1e6:.2f}"
    )
    times_us = []
    cpu_s = time.process_time()
    calls = count // 10
    for number in range(calls):
        start_s = time.perf_counter()
        await first.call("b", Load(number, payload), 5.0)
        times_us.append((time.perf_counter() - start_s) * 1e6)
    cpu_s = time.process_time() - cpu_s
    times_us.sort()
    print(
        f"bench=calls size_bytes={size_bytes} calls={calls} "
        f"p50_us={times_us[calls // 2]:.0f} p99_us={times_us[calls * 99 // 100]:.0f} "
        f"cpu_us_per_call_both_ends={cpu_s / calls * 1e6:.1f}"
    )
    for node in nodes:
        await node.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", default="10,30,100")
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=120.0)
    parser.add_argument("--settle-s", type=float, default=60.0)
    # 56 failures, 6,400 restarts and 3,300 configuration changes a day.
    parser.add_argument("--restarts-per-s", type=float, default=6456 / 86400)
    parser.add_argument("--publishes-per-s", type=float, default=3300 / 86400)
    parser.add_argument("--frames", type=int, default=50_000)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    bench_hosts(options)
    if options.frames:
        asyncio.run(bench_frames(options.frames, 64))


if __name__ == "__main__":
    main()
