"""Hosts in touch use an old manifest because their reader and the next hosts fall dark.

The first host of a zone is cut off from the store, and a manifest moves a route to
another service. While the others still follow that host, it and the next two machines
are cut off. Opening packets that the other hosts send on are judged by the bound of the
manifest.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.kit3.flows import Backend, Traffic
from review.kit3.machines import CONTROL_PORT, Machine
from review.kit3.record import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Record,
    has_trouble,
    own_network,
    run_to_end,
)
from review.kit3.store import Store

HOSTS, DARK_HOSTS = 9, 3
CONFIG_BOUND_S = 3.0
# Between a moment here and the same moment as the store or a backend sees it.
MEASURING_SLACK_S = 0.05
CHANGE_AFTER_S = (0.0, 0.2)
DARK_AFTER_S, DARK_FOR_S = (1.0, 1.2), 3.5
CORE_CUT_S = 3.0
JUDGED_UNTIL_S = 6.0
CYCLE_S = 11.0
CYCLES = 9
START_TIMEOUT_S = 15.0
FLOWS_PER_S = 80.0
ROUTE = ("198.18.0.1", 8080)
SEED = 12


class Case:
    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.net = own_network()
        self.random = random.Random(SEED)
        self.store = Store()
        self.machines = [
            Machine(f"{self.net}.{10 + number}", "zone-a", folder)
            for number in range(HOSTS)
        ]
        self.dark, self.judged = self.machines[:DARK_HOSTS], self.machines[DARK_HOSTS:]
        self.version = 0
        self.violations = 0

    async def run(self) -> int:
        await self.store.start(f"{self.net}.5")
        seeds = ",".join(f"{m.ip}:{CONTROL_PORT}" for m in self.machines[:3])
        for machine in self.machines:
            await machine.prepare(self.store.address, seeds)
        self.traffic = Traffic(self.store, self.machines, self.net)
        self.backends = {
            name: Backend(self.traffic, 0x7F000001 + number, name, "zone-a")
            for number, name in enumerate(("sheet", "paper"))
        }
        self.service = "sheet"
        self.write_manifest()
        for machine in self.machines:
            machine.start()
        probes = [asyncio.create_task(m.probe_repeatedly()) for m in self.machines]
        flows = asyncio.create_task(self.send_flows())
        try:
            if not await self.wait_ready():
                return COULD_NOT_RUN
            for _ in range(CYCLES):
                await self.cycle()
                if self.violations:
                    return BROKEN
            return HELD
        finally:
            for task in (flows, *probes):
                task.cancel()
            for machine in self.machines:
                machine.kill()

    def write_manifest(self) -> None:
        self.version += 1
        host, port = ROUTE
        route = {
            "name": f"r-{port}",
            "host": host,
            "prefix": f"/{port}/",
            "type": "safe",
            "service": self.service,
            "timeout_ms": 2000,
            "target_latency_ms": 200,
            "priority": 1,
            "max_attempts": 2,
        }
        services = [{"name": name, "health_path": "/health"} for name in self.backends]
        manifest = {
            "version": self.version,
            "routes": [route],
            "services": services,
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("op/config", manifest)

    async def wait_ready(self) -> bool:
        end_s = time.monotonic() + START_TIMEOUT_S
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > end_s:
                self.record.write("not all hosts are ready")
                return False
            await asyncio.sleep(0.05)
        await asyncio.sleep(5.0)
        return True

    async def send_flows(self) -> None:
        while True:
            self.traffic.begin_flow(ROUTE)
            await asyncio.sleep(1.0 / FLOWS_PER_S)

    async def cycle(self) -> None:
        # No phase of the hosts' own timers is preferred.
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        change_after_s = self.random.uniform(*CHANGE_AFTER_S)
        dark_after_s = self.random.uniform(*DARK_AFTER_S)
        self.traffic.arrivals.clear()
        began_s = time.monotonic()
        trouble = has_trouble()
        reader = self.dark[0]
        if trouble:
            reader.link.cut(resets=False)
            self.record.write(f"{reader.ip} is cut off from the store")
        await self.wait_until(began_s + change_after_s)
        old, new = self.service, "paper" if self.service == "sheet" else "sheet"
        self.service = new
        self.write_manifest()
        acknowledged_s = time.monotonic()
        self.record.write(
            f"acknowledged: version {self.version} moves the route from {old} to {new}"
        )
        await self.wait_until(began_s + dark_after_s)
        if trouble:
            self.signal_dark(signal.SIGSTOP)
            self.record.write(f"the first {DARK_HOSTS} machines are cut off")
        await self.wait_until(began_s + CORE_CUT_S)
        if trouble:
            reader.link.heal()
        await self.wait_until(began_s + dark_after_s + DARK_FOR_S)
        if trouble:
            self.signal_dark(signal.SIGCONT)
            self.record.write("their cut has healed")
        await self.wait_until(began_s + JUDGED_UNTIL_S)
        self.judge(old, acknowledged_s)
        await self.wait_until(began_s + CYCLE_S)

    async def wait_until(self, moment_s: float) -> None:
        await asyncio.sleep(max(0.0, moment_s - time.monotonic()))

    def signal_dark(self, number: int) -> None:
        for machine in self.dark:
            machine.send_signal(number)

    def judge(self, old: str, acknowledged_s: float) -> None:
        """Judge what the hosts have sent on that nothing has disturbed."""
        judged = {machine.ip for machine in self.judged}
        outdated = [
            arrival
            for arrival in self.traffic.arrivals
            if arrival.machine_ip in judged
            and arrival.backend is self.backends[old]
            and arrival.sent_at_s > acknowledged_s + CONFIG_BOUND_S + MEASURING_SLACK_S
        ]
        for arrival in outdated:
            self.record.write(
                f"CONFIG: an opening packet, sent {self.record.at(arrival.sent_at_s)}, "
                f"reached {arrival.backend.key} ({old}) through {arrival.machine_ip}, "
                f"sent {arrival.sent_at_s - acknowledged_s:.2f} s after the "
                f"acknowledgement"
            )
        last_s = max(
            (
                arrival.sent_at_s - acknowledged_s
                for arrival in self.traffic.arrivals
                if arrival.machine_ip in judged
                and arrival.backend is self.backends[old]
            ),
            default=0.0,
        )
        self.violations += len(outdated)
        traffic = self.traffic
        self.record.write(
            f"flows so far: opened={traffic.opened} answered={traffic.answered} "
            f"failed={traffic.failed}; last one at the old service sent {last_s:.2f} s "
            f"after the acknowledgement; opening packets that break CONFIG: "
            f"{len(outdated)}"
        )


def main() -> int:
    record = Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory(prefix="review-12-") as folder:
        status = run_to_end(Case(record, Path(folder)).run())
    record.write(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
