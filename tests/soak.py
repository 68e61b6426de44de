"""A long randomised run of nine hosts under planned changes or all faults.

::

    python -m tests.soak --seed 1 --minutes 10 --faults planned
    python -m tests.soak --seed 1 --minutes 10 --faults all

The program asserts its invariants while it runs; at the end the records of callers
and upstreams are compared. With planned changes only, every promise must hold. With
all faults, flows may break and outcomes may be unknown, but no answer may be mixed
up, nothing may run twice and "not run" must be true.
"""

import argparse
import asyncio
import logging as standard_logging
import random
import sys
import time
from collections import Counter
from dataclasses import replace

from absl import logging
from aiocoap.numbers.codes import Code

from testbed.judge import Verdict
from tests.fakes import run_virtual
from tests.fleet import ZONES, Fleet, wait_until
from wisteriatiller.ids import ServiceId, UpstreamId
from wisteriatiller.store.submission import Submitted

PRICE_SERVICE = "stock-browser"
SHEET_SERVICE = "sheet-service"
IN_FORCE_BOUND_S = 15.0
SETTLE_S = 40.0


class Soak:
    """One run: sessions of callers, and changes or faults at random times."""

    def __init__(self, seed: int, flows: int = 60):
        self.random = random.Random(f"soak {seed}")
        self.fleet = Fleet(seed)
        self.flows = flows
        self.events: Counter[str] = Counter()
        self.slowest_in_force_s = 0.0
        self.stopping = False
        self._quotes = 0
        self._busy_hosts: set[str] = set()
        self._tasks: list[asyncio.Task] = []

    async def run(self, duration_s: float, kinds: list[str], gap_s: float) -> Verdict:
        await self.fleet.start()
        sessions = [self._spawn(self._session(index)) for index in range(self.flows)]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * gap_s)
            kind = self.random.choice(kinds)
            self.events[kind] += 1
            self._spawn(getattr(self, f"_{kind}")())
        await asyncio.sleep(SETTLE_S)
        self.stopping = True
        await asyncio.gather(*sessions)
        for task in self._tasks:
            if task.done():
                task.result()
        return self.fleet.verdict()

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    # Sessions

    async def _session(self, index: int) -> None:
        service = SHEET_SERVICE if index % 5 == 4 else PRICE_SERVICE
        flow = self.fleet.open_flow(service, index)
        step = 0
        while not self.stopping:
            if service == SHEET_SERVICE:
                await flow.get_body(f"sheet/{index}")
            elif step % 3 == 2:
                await flow.request_until_run(Code.POST, "quote", self._quote())
            else:
                await flow.request_until_run(Code.GET, f"price/{step % 7}")
            step += 1
            await asyncio.sleep(self.random.uniform(2.0, 6.0))

    def _quote(self) -> bytes:
        self._quotes += 1
        return f"quote-{self._quotes};crates=1".encode()

    # Planned changes

    def _idle_host(self) -> str | None:
        """A running host of a zone in which no other host is stopped."""
        busy_zones = {self.fleet.zone_of[host_id] for host_id in self._busy_hosts}
        idle = [
            host_id
            for host_id in self.fleet.hosts
            if self.fleet.zone_of[host_id] not in busy_zones
        ]
        return self.random.choice(idle) if idle else None

    async def _restart(self) -> None:
        host_id = self._idle_host()
        if host_id is None:
            return
        self._busy_hosts.add(host_id)
        await self.fleet.stop_host(host_id)
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        await self.fleet.start_host(host_id)
        await asyncio.sleep(8.0)
        self._busy_hosts.discard(host_id)

    async def _submit_change(self, service_id: str, **changes) -> None:
        """Change an upstream; another submission may come first."""
        service = self.fleet.services[ServiceId(service_id)]
        upstream_id = self.random.choice(sorted(service.upstreams))
        remaining = [
            u
            for u in service.upstreams.values()
            if not u.drain and u.upstream_id != upstream_id
        ]
        if changes.get("drain") and len(remaining) < 2:
            return
        outcome = await self.fleet.change_upstream(upstream_id, **changes)
        if isinstance(outcome, Submitted):
            await self._note_in_force()

    async def _note_in_force(self) -> None:
        if self.fleet.store.away or self.fleet.network.has_cuts:
            return
        waited_s = await wait_until(self.fleet.is_in_force, IN_FORCE_BOUND_S)
        self.slowest_in_force_s = max(self.slowest_in_force_s, waited_s)

    async def _drain(self) -> None:
        await self._submit_change(PRICE_SERVICE, drain=True)

    async def _undrain(self) -> None:
        service = self.fleet.services[ServiceId(PRICE_SERVICE)]
        drained = [u.upstream_id for u in service.upstreams.values() if u.drain]
        if drained:
            await self.fleet.change_upstream(self.random.choice(drained), drain=False)

    async def _reweigh(self) -> None:
        weight = self.random.choice((0.5, 1.0, 2.0))
        await self._submit_change(PRICE_SERVICE, weight=weight)

    async def _join(self) -> None:
        """Add an upstream to the price service, at most ten in all."""
        services = dict(self.fleet.services)
        service = services[ServiceId(PRICE_SERVICE)]
        number = len(service.upstreams) + 1
        if number > 10:
            return
        first = next(iter(service.upstreams.values()))
        upstream_id = UpstreamId(f"{PRICE_SERVICE}-{number}")
        added = replace(
            first,
            upstream_id=upstream_id,
            address=first.address._replace(ip=f"10.20.0.{number}"),
            zone=self.random.choice(ZONES),
            drain=False,
        )
        upstreams = {**service.upstreams, upstream_id: added}
        services[service.service_id] = replace(service, upstreams=upstreams)
        outcome = await self.fleet.submit(services)
        if isinstance(outcome, Submitted):
            self.fleet.start_upstream(upstream_id)

    # Faults

    async def _crash(self) -> None:
        host_id = self._idle_host()
        if host_id is None:
            return
        self._busy_hosts.add(host_id)
        await self.fleet.crash_host(host_id)
        await asyncio.sleep(self.random.uniform(1.0, 15.0))
        await self.fleet.start_host(host_id)
        await asyncio.sleep(8.0)
        self._busy_hosts.discard(host_id)

    async def _crash_upstream(self) -> None:
        running = sorted(self.fleet.upstreams)
        if len(running) < 9:
            return
        upstream_id = self.random.choice(running)
        self.fleet.crash_upstream(upstream_id)
        await asyncio.sleep(self.random.uniform(1.0, 20.0))
        self.fleet.start_upstream(upstream_id)

    async def _disturb_upstream(self) -> None:
        upstream = self.random.choice(list(self.fleet.upstreams.values()))
        fault = self.random.choice(
            (
                {"late": 0.2, "late_s": 1.0},
                {"twice": 0.3, "disorder_s": 0.1},
                {"speed": 0.3},
                {"shed": True},
                {"silent": True},
                {"report_factor": 3.0, "report_lag_s": 10.0},
            )
        )
        upstream.set_faults(dict(fault))
        await asyncio.sleep(self.random.uniform(2.0, 15.0))
        defaults = type(upstream.faults)()
        upstream.set_faults({name: getattr(defaults, name) for name in fault})

    async def _disturb_network(self) -> None:
        network = self.fleet.network
        network.loss = self.random.uniform(0.0, 0.1)
        network.duplication = self.random.uniform(0.0, 0.1)
        network.reordering = self.random.uniform(0.0, 0.2)
        await asyncio.sleep(self.random.uniform(3.0, 15.0))
        network.loss = network.duplication = network.reordering = 0.0

    async def _cut_zone(self) -> None:
        """Cut a zone from the others, the platform and the callers outside."""
        network = self.fleet.network
        if network.has_cuts:
            return
        zone = self.random.choice(ZONES)
        others = [other for other in ZONES if other != zone]
        network.cut([zone], others)
        for host_id, host in self.fleet.hosts.items():
            if self.fleet.zone_of[host_id] == zone:
                host.environment.store.away = True
        await asyncio.sleep(self.random.uniform(3.0, 20.0))
        network.heal()
        for host in self.fleet.hosts.values():
            host.environment.store.away = False

    async def _store_away(self) -> None:
        self.fleet.store.set_away(True)
        await asyncio.sleep(self.random.uniform(2.0, 30.0))
        self.fleet.store.set_away(False)

    async def _store_loses_answers(self) -> None:
        self.fleet.store.lose_answers += 1

    async def _store_goes_back(self) -> None:
        snapshot = self.fleet.store.snapshot()
        await asyncio.sleep(self.random.uniform(2.0, 15.0))
        self.fleet.store.go_back(snapshot)

    async def _two_operators(self) -> None:
        """Two submissions at the same moment; at most one is the next revision."""
        first, second = await asyncio.gather(
            self.fleet.submit(self.fleet.services),
            self.fleet.submit(self.fleet.services),
        )
        if isinstance(first, Submitted) and isinstance(second, Submitted):
            assert first.revision != second.revision, "two texts with one revision"


PLANNED = ["restart", "restart", "drain", "undrain", "reweigh", "join"]
FAULTS = [
    "crash",
    "crash",
    "crash_upstream",
    "disturb_upstream",
    "disturb_network",
    "cut_zone",
    "store_away",
    "store_loses_answers",
    "store_goes_back",
    "two_operators",
]
KINDS = {
    "planned": PLANNED,
    "config": ["drain", "undrain", "reweigh", "join"],
    "all": PLANNED + FAULTS,
}


def run_soak(seed: int, minutes: float, faults: str, gap_s: float = 6.0):
    """Run on virtual time; return the soak and its verdict."""

    async def main():
        soak = Soak(seed)
        return soak, await soak.run(minutes * 60, KINDS[faults], gap_s)

    return run_virtual(main(), seed)


def violations(verdict: Verdict, faults: str) -> list[str]:
    """The promises that did not hold."""
    names = ["mixed_answers", "run_twice", "false_not_run", "errors"]
    if faults != "all":
        names += ["broken_flows", "outcome_unknown", "without_answer"]
    return [
        f"{name}={getattr(verdict, name)}" for name in names if getattr(verdict, name)
    ]


class VirtualTimeFormatter(standard_logging.Formatter):
    """Puts the run's own time in front of each line."""

    def format(self, record):
        return f"t={asyncio.get_running_loop().time():.3f} {record.getMessage()}"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--faults", choices=sorted(KINDS), default="planned")
    parser.add_argument("--log", action="store_true", help="keep the hosts' log lines")
    arguments = parser.parse_args()
    logging.set_verbosity(logging.INFO if arguments.log else logging.FATAL)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(VirtualTimeFormatter())
    started_s = time.monotonic()
    soak, verdict = run_soak(arguments.seed, arguments.minutes, arguments.faults)
    broken = violations(verdict, arguments.faults)
    print(verdict.line("soak"), end=" ")
    print(
        f"without_answer={verdict.without_answer} "
        f"false_not_run={verdict.false_not_run} "
        f"in_force_s={soak.slowest_in_force_s:.2f} seed={arguments.seed} "
        f"minutes={arguments.minutes:g} faults={arguments.faults} "
        f"real_s={time.monotonic() - started_s:.1f}"
    )
    print("events", *(f"{name}={count}" for name, count in sorted(soak.events.items())))
    for name, details in verdict.details.items():
        if details:
            print(f"detail={name} count={len(details)} first={details[:3]}")
    print("violations", *broken or ["none"])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
