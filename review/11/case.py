"""A host resets live flows of a backend that has started again under its id.

A backend drains, leaves, and starts again under the id that it had, while the hosts are
stopped and started in turn. A host that still takes the backend for gone resets the
flows that have opened there through other hosts.
"""

import asyncio
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

ZONE = "zone-a"
HOSTS, BACKENDS = 6, 12
# A little longer than the drain time of the settings.
DRAIN_S = 3.2
AWAY_S = 2.2
RELEASE_GAP_S = 1.2
ROLL_GAP_S = 2.0
STOPPED_S = 0.5
START_TIMEOUT_S = 15.0
FLOWS_PER_S = 80.0
REQUESTS, PAUSE_S = 16, 0.15
LENGTH_S = 95.0
REPORT_INTERVAL_S = 3.0
ROUTE = ("198.18.0.1", 443)


class Case:
    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.net = own_network()
        self.store = Store()
        self.machines = [
            Machine(f"{self.net}.{10 + number}", ZONE, folder)
            for number in range(HOSTS)
        ]
        self.next_number = 0x7F000001
        self.tasks: list[asyncio.Task] = []

    async def run(self) -> int:
        await self.store.start(f"{self.net}.5")
        seeds = ",".join(f"{m.ip}:{CONTROL_PORT}" for m in self.machines[:3])
        for machine in self.machines:
            await machine.prepare(self.store.address, seeds)
        self.traffic = Traffic(self.store, self.machines, self.net)
        self.backends = [self.add_backend() for _ in range(BACKENDS)]
        self.write_manifest()
        for machine in self.machines:
            machine.start()
            self.tasks.append(asyncio.create_task(machine.probe_repeatedly()))
        try:
            if not await self.wait_ready():
                return COULD_NOT_RUN
            self.tasks.append(asyncio.create_task(self.send_flows()))
            self.tasks.append(asyncio.create_task(self.roll_hosts()))
            self.tasks.append(asyncio.create_task(self.replace_backends()))
            end_s = time.monotonic() + LENGTH_S
            while time.monotonic() < end_s:
                await asyncio.sleep(REPORT_INTERVAL_S)
                if self.report():
                    return BROKEN
            return HELD
        finally:
            for task in self.tasks:
                task.cancel()
            for machine in self.machines:
                machine.kill()

    def add_backend(self, number: int | None = None, address=None) -> Backend:
        if number is None:
            number, self.next_number = self.next_number, self.next_number + 1
        return Backend(self.traffic, number, "stock", ZONE, address)

    def write_manifest(self) -> None:
        route = {
            "name": "r-1",
            "host": ROUTE[0],
            "prefix": f"/{ROUTE[1]}/",
            "type": "unsafe",
            "service": "stock",
            "timeout_ms": 2000,
            "target_latency_ms": 200,
            "priority": 1,
            "max_attempts": 2,
        }
        manifest = {
            "version": 1,
            "routes": [route],
            "services": [{"name": "stock", "health_path": "/health"}],
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
        await asyncio.sleep(3.0)
        return True

    async def send_flows(self) -> None:
        while True:
            self.traffic.begin_flow(ROUTE, REQUESTS, PAUSE_S)
            await asyncio.sleep(1.0 / FLOWS_PER_S)

    async def roll_hosts(self) -> None:
        """Stop the hosts in turn, and start each again after it has ended."""
        while True:
            for machine in self.machines:
                machine.send_signal(signal.SIGTERM)
                self.tasks.append(asyncio.create_task(self.start_again(machine)))
                await asyncio.sleep(ROLL_GAP_S)

    async def start_again(self, machine: Machine) -> None:
        while machine.is_running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(STOPPED_S)
        machine.start()

    async def replace_backends(self) -> None:
        """Restart the backends in turn, as a release does."""
        while True:
            old = self.backends.pop(0)
            self.tasks.append(asyncio.create_task(self.replace_backend(old)))
            await asyncio.sleep(RELEASE_GAP_S)

    async def replace_backend(self, old: Backend) -> None:
        """Drain a backend and start it again, or without trouble a new one."""
        old.drain()
        self.record.write(f"acknowledged: {old.key} drains")
        await asyncio.sleep(DRAIN_S)
        old.leave()
        self.record.write(f"{old.key} has left, and its entry is removed")
        await asyncio.sleep(AWAY_S)
        number = old.number if has_trouble() else None
        new = self.add_backend(number, old.address)
        self.backends.append(new)
        self.record.write(f"{new.key} starts")

    def report(self) -> bool:
        traffic = self.traffic
        for at_s, flow in traffic.resets:
            backend = flow.backend
            self.record.write(
                f"FLOW: at {self.record.at(at_s)} the client of port {flow.port} got a "
                f"reset that no backend sent, on a flow that is open at {backend.key} "
                f"since {self.record.at(flow.opened_at_s)}; that backend lives "
                f"({backend.is_alive}) and has started at "
                f"{self.record.at(backend.started_at_s)}"
            )
        self.record.write(
            f"flows so far: opened={traffic.opened} answered={traffic.answered} "
            f"failed={traffic.failed} reset={len(traffic.resets)}"
        )
        return any(flow.backend.is_alive for _, flow in traffic.resets)


def main() -> int:
    record = Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory(prefix="review-11-") as folder:
        status = run_to_end(Case(record, Path(folder)).run())
    record.write(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
