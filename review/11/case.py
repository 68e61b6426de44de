"""A host sends flows to a draining backend long after the bound of drains.

Two hosts are cut off from the store at the same moment: the first one for some seconds,
the second one for one. A backend drains, and a manifest moves a route to another
service, after the second host's cut has healed. Opening packets that this host sends on
while it is in touch are judged by the bounds of drains and of the manifest.
"""

import asyncio
import sys
import tempfile
import time
import zlib
from pathlib import Path

from review.kit3.flows import Arrival, Backend, Traffic
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

STABILITY_S = 4.0
DRAIN_BOUND_S = CONFIG_BOUND_S = 3.0
# Between a moment here and the same moment as the store or a backend sees it.
MEASURING_SLACK_S = 0.1
# The longest cut of a machine from the store in the Quimper site file (``core_cut``).
LONG_CUT_S, SHORT_CUT_S = 5.5, 0.95
DRAIN_AFTER_S = 1.2
JUDGED_UNTIL_S = 8.0
# Longer than a backend that drains has to stay.
LEAVE_AFTER_S = 9.0
CYCLE_S = 12.0
CYCLES = 7
START_TIMEOUT_S = 15.0
FLOWS_PER_S = 20.0
DRAIN_ROUTE, MOVED_ROUTE = ("198.18.0.1", 443), ("198.18.0.1", 8080)


class Case:
    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.net = own_network()
        self.store = Store()
        self.first = Machine(f"{self.net}.10", "zone-a", folder)
        self.second = Machine(f"{self.net}.11", "zone-a", folder)
        self.machines = [self.first, self.second]
        self.version = 0
        self.next_number = 0x7F000001
        self.violations: list[str] = []

    async def run(self) -> int:
        await self.store.start(f"{self.net}.5")
        seeds = f"{self.first.ip}:{CONTROL_PORT}"
        for machine in self.machines:
            await machine.prepare(self.store.address, seeds)
        self.traffic = Traffic(self.store, self.machines, self.net)
        self.moved = {name: self.add_backend(name) for name in ("sheet", "paper")}
        self.service = "sheet"
        self.staying, self.leaving = self.add_backend("stock"), None
        self.write_manifest()
        for machine in self.machines:
            machine.start()
        probes = [asyncio.create_task(m.probe_repeatedly()) for m in self.machines]
        flows = asyncio.create_task(self.send_flows())
        try:
            if not await self.wait_ready():
                return COULD_NOT_RUN
            for number in range(CYCLES):
                await self.cycle(number)
                if self.violations:
                    return BROKEN
            return HELD
        finally:
            for task in (flows, *probes):
                task.cancel()
            for machine in self.machines:
                machine.kill()

    def add_backend(self, service: str) -> Backend:
        number, self.next_number = self.next_number, self.next_number + 1
        return Backend(self.traffic, number, service, "zone-a")

    def write_manifest(self) -> None:
        self.version += 1
        services = {DRAIN_ROUTE: "stock", MOVED_ROUTE: self.service}
        routes = [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": "safe",
                "service": service,
                "timeout_ms": 2000,
                "target_latency_ms": 200,
                "priority": 1,
                "max_attempts": 2,
            }
            for (host, port), service in services.items()
        ]
        names = ("stock", "sheet", "paper")
        listed = [{"name": name, "health_path": "/health"} for name in names]
        limits = {"idle_timeout_ms": 15000}
        manifest = {
            "version": self.version,
            "routes": routes,
            "services": listed,
            "limits": limits,
        }
        self.store.put("op/config", manifest)

    async def wait_ready(self) -> bool:
        end_s = time.monotonic() + START_TIMEOUT_S
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > end_s:
                self.record.write("not all hosts are ready")
                return False
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        return True

    async def send_flows(self) -> None:
        number = 0
        while True:
            number += 1
            self.traffic.begin_flow((DRAIN_ROUTE, MOVED_ROUTE)[number % 2])
            await asyncio.sleep(1.0 / FLOWS_PER_S)

    async def cycle(self, number: int) -> None:
        self.leaving = self.add_backend("stock")
        await asyncio.sleep(2.0)
        # No phase of the hosts' own timers is preferred.
        await asyncio.sleep(zlib.crc32(b"%d" % number) % 600 / 1000)
        self.traffic.arrivals.clear()
        began_s = time.monotonic()
        healed_s = began_s
        trouble = has_trouble()
        if trouble:
            self.record.write("both hosts are cut off from the store")
            self.first.link.cut(resets=True)
            self.second.link.cut(resets=False)
            await asyncio.sleep(SHORT_CUT_S)
            self.second.link.heal()
            healed_s = time.monotonic()
            self.record.write("the second host's cut has healed")
        await asyncio.sleep(began_s + DRAIN_AFTER_S - time.monotonic())
        self.leaving.drain()
        old, new = self.service, "paper" if self.service == "sheet" else "sheet"
        self.service = new
        self.write_manifest()
        acknowledged_s = time.monotonic()
        self.record.write(
            f"acknowledged: {self.leaving.key} drains; version {self.version} moves a "
            f"route from {old} to {new}"
        )
        await asyncio.sleep(began_s + LONG_CUT_S - time.monotonic())
        if trouble:
            self.first.link.heal()
            self.record.write("the first host's cut has healed")
        await asyncio.sleep(began_s + JUDGED_UNTIL_S - time.monotonic())
        self.judge(old, acknowledged_s, healed_s, trouble)
        await asyncio.sleep(began_s + LEAVE_AFTER_S - time.monotonic())
        self.leaving.leave()
        await asyncio.sleep(max(0.0, began_s + CYCLE_S - time.monotonic()))

    def judge(
        self, old: str, acknowledged_s: float, healed_s: float, trouble: bool
    ) -> None:
        """Judge what the second host, and without trouble any host, has sent on."""
        judged = {self.second.ip} if trouble else {m.ip for m in self.machines}
        in_touch_s = healed_s + (STABILITY_S if trouble else 0.0) + MEASURING_SLACK_S
        drained = [
            arrival
            for arrival in self.traffic.arrivals
            if arrival.machine_ip in judged
            and arrival.backend is self.leaving
            and arrival.sent_at_s > in_touch_s
            and arrival.at_s > acknowledged_s + DRAIN_BOUND_S + MEASURING_SLACK_S
        ]
        outdated = [
            arrival
            for arrival in self.traffic.arrivals
            if arrival.machine_ip in judged
            and arrival.backend is self.moved[old]
            and arrival.sent_at_s > in_touch_s
            and arrival.sent_at_s > acknowledged_s + CONFIG_BOUND_S + MEASURING_SLACK_S
        ]
        for rule, found in (("DRAIN", drained), ("CONFIG", outdated)):
            self.report(rule, found, acknowledged_s, healed_s)
        traffic = self.traffic
        self.record.write(
            f"flows so far: opened={traffic.opened} answered={traffic.answered} "
            f"failed={traffic.failed}; opening packets that break DRAIN: "
            f"{len(drained)}, CONFIG: {len(outdated)}"
        )

    def report(
        self, rule: str, found: list[Arrival], acknowledged_s: float, healed_s: float
    ) -> None:
        for arrival in found:
            text = (
                f"{rule}: an opening packet, sent {self.record.at(arrival.sent_at_s)}, "
                f"reached {arrival.backend.key} ({arrival.backend.service}) at "
                f"{self.record.at(arrival.at_s)} through {arrival.machine_ip}, "
                f"{arrival.at_s - acknowledged_s:.2f} s after the acknowledgement and "
                f"{arrival.sent_at_s - healed_s:.2f} s after the end of its host's cut"
            )
            self.violations.append(text)
            self.record.write(text)


def main() -> int:
    record = Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory(prefix="review-11-") as folder:
        status = run_to_end(Case(record, Path(folder)).run())
    record.write(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
