"""Broken flows and bytes of ways to place flows, under the same changes and faults.

::

    python -m testbed.bench_placement --seed 1

Nine hosts on virtual time serve open flows while one upstream is drained, one joins,
one host restarts gracefully and another crashes. The ways are the plain stateless
hash, owners without claims, owners without the records of a backup (an earlier version
of this program), and the program as it is.
"""

import argparse
import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from absl import logging
from aiocoap.numbers.codes import Code

from tests.fakes import run_virtual
from tests.fleet import Fleet, wait_until
from wisteriatiller.ids import ServiceId, UpstreamId
from wisteriatiller.operations.runtime import Host
from wisteriatiller.owners.backups import BackupShards
from wisteriatiller.owners.balance import BoundedLoadChooser
from wisteriatiller.owners.flowopening import FlowOpener
from wisteriatiller.owners.flows import FlowTable

SERVICE = "stock-browser"
FLOWS = 300
THINK_S = 2.0
SETTLE_S = 12.0
FLOW_RECORD_BYTES = 30


def no_claims(stack: ExitStack) -> None:
    """Open flows at their home without asking earlier homes."""
    stack.enter_context(
        mock.patch.object(FlowOpener, "_earlier_homes", lambda *arguments: [])
    )


def plain_hash(stack: ExitStack) -> None:
    """Forget every flow at each new configuration, so that only the table counts."""
    no_claims(stack)
    stack.enter_context(
        mock.patch.object(
            BoundedLoadChooser, "choose", lambda _, service, flow_key, home: home
        )
    )
    start = Host.start

    async def start_forgetting(host):
        await start(host)
        host.source.subscribe(lambda configuration: forget_flows(host))

    stack.enter_context(mock.patch.object(Host, "start", start_forgetting))


def forget_flows(host: Host) -> None:
    host.ingress._pins.clear()
    for owned in host.shards:
        for flow_key, _ in list(owned.flows):
            owned.flows.remove(flow_key)


def no_backup_records(stack: ExitStack) -> None:
    """Start each shard without the flows of its former owner."""
    take_over = BackupShards.take_over

    def take_over_nothing(backups, owned, former):
        backup = backups._backups.get(owned.shard)
        if backup is not None:
            backup.flows = FlowTable()
        return take_over(backups, owned, former)

    stack.enter_context(mock.patch.object(BackupShards, "take_over", take_over_nothing))


WAYS: dict[str, Callable[[ExitStack], None]] = {
    "plain_hash": plain_hash,
    "no_claims": no_claims,
    "no_backup_records": no_backup_records,
    "chosen": lambda stack: None,
}


async def drain(fleet: Fleet) -> None:
    await fleet.change_upstream(f"{SERVICE}-1", drain=True)


async def join(fleet: Fleet) -> None:
    services = dict(fleet.services)
    service = services[ServiceId(SERVICE)]
    first = service.upstreams[UpstreamId(f"{SERVICE}-2")]
    added = replace(
        first,
        upstream_id=UpstreamId(f"{SERVICE}-8"),
        address=first.address._replace(ip="10.20.0.8"),
    )
    upstreams = {**service.upstreams, added.upstream_id: added}
    services[service.service_id] = replace(service, upstreams=upstreams)
    await fleet.submit(services)
    fleet.start_upstream(added.upstream_id)


async def restart(fleet: Fleet) -> None:
    await fleet.stop_host("quimper-0")
    await fleet.start_host("quimper-0")


async def crash(fleet: Fleet) -> None:
    busiest = max(fleet.hosts, key=lambda h: fleet.hosts[h].count_unfinished()["flows"])
    await fleet.crash_host(busiest)


EVENTS = (drain, join, restart, crash)


async def measure(seed: int) -> dict[str, int]:
    """Run the events one after another; return broken flows after each."""
    fleet = Fleet(seed)
    await fleet.start()
    stopping = asyncio.Event()
    flows = [fleet.open_flow(SERVICE, index) for index in range(FLOWS)]

    async def session(flow):
        while not stopping.is_set():
            await flow.request(Code.GET, "price/1")
            await asyncio.sleep(fleet.caller.random.uniform(0.5, 1.5) * THINK_S)

    tasks = [asyncio.create_task(session(flow)) for flow in flows]
    await wait_until(lambda: all(flow.upstream for flow in flows), 30.0)
    results = {}
    known = 0
    for event in EVENTS:
        await event(fleet)
        await asyncio.sleep(SETTLE_S)
        broken = fleet.verdict().broken_flows
        results[f"broken_by_{event.__name__}"] = broken - known
        known = broken
    stopping.set()
    await asyncio.gather(*tasks)
    verdict = fleet.verdict()
    results |= {
        "broken_flows": verdict.broken_flows,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "replica_bytes": sum(
            host.environment.metrics.counters().get("replication.sent_bytes", 0)
            for host in fleet.hosts.values()
        ),
    }
    return results


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m testbed.bench_placement")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    for way, patch in WAYS.items():
        with ExitStack() as stack:
            patch(stack)
            results = run_virtual(measure(arguments.seed), arguments.seed)
        pairs = " ".join(f"{name}={value}" for name, value in results.items())
        print(f"bench=placement way={way} seed={arguments.seed} flows={FLOWS} {pairs}")
    full = 99_000 * FLOW_RECORD_BYTES
    print(f"bench=placement way=full_replication computed_bytes_per_s_and_host={full}")


if __name__ == "__main__":
    main()
