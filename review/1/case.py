"""Plays the case of this folder; see claim.txt."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.standins.deployment import (  # noqa: E402
    SERVICE_ADDRESS,
    Deployment,
    NotRun,
    has_trouble,
    route,
    run_case,
)
from review.standins.traffic import Traffic  # noqa: E402

HOSTS = 5
BACKENDS = 4
REQUESTS_PER_S = 30.0
HELD_FLOWS = 60
# One entry of another writer: a value below platform.value_bytes, a key below 200
# bytes. Its key is the last of a page, since a page holds about 1 MB.
OTHER_KEY = "servers/%7Einventory.bak"
OTHER_VALUE_BYTES = 900_000
# Clients pause between the requests of a flow; flows may be idle for 15 s.
PAUSE_S = 7.0
# The backend begins to leave, then the entry is written. The backend goes on to serve
# "at times many seconds" after the drain timeout of 3 s.
DRAIN_AT_S = 2.0
OTHER_AT_S = 3.0


class Case:
    """Flows with a pause, on backends of which one begins to leave in the pause."""

    def __init__(self, case: Path):
        self.world = Deployment(case, HOSTS)
        self.traffic = Traffic(self.world, REQUESTS_PER_S)
        self.outcomes: Counter[str] = Counter()
        self.resets_by_hosts = 0

    async def play(self) -> bool:
        world = self.world
        world.on_run = lambda backend, request, opening: world.record.write(
            f"run {request} at {backend.backend_id} via {opening[1]}"
        )
        await world.start(BACKENDS, [route("r-jobs", 443)])
        self.traffic.start()
        await asyncio.sleep(5.0)
        started_s = time.monotonic()
        held = [
            asyncio.create_task(self._hold(f"held-{number}"))
            for number in range(HELD_FLOWS)
        ]
        await asyncio.sleep(DRAIN_AT_S)
        leaving = world.backends[0]
        world.drain(leaving)
        await asyncio.sleep(started_s + OTHER_AT_S - time.monotonic())
        written_s = time.monotonic()
        if has_trouble():
            world.store.put(OTHER_KEY, os.urandom(OTHER_VALUE_BYTES))
            world.record.write(f"another writer writes {OTHER_KEY!r}")
        await asyncio.gather(*held)
        await asyncio.sleep(2.0)
        refused = self._refused_since(written_s + 3.0)
        summary = (
            f"held_flows={dict(self.outcomes)} resets_by_hosts={self.resets_by_hosts} "
            f"new_flows_from_3_s_after_the_entry: {refused}"
        )
        world.record.write(summary)
        print(summary)
        answered = self.outcomes["answered"]
        if not has_trouble() and answered < HELD_FLOWS:
            raise NotRun("flows failed without the disruption")
        return self.resets_by_hosts > 0

    async def _hold(self, name: str) -> None:
        world = self.world
        steps = await world.clients.hold(SERVICE_ADDRESS, name, PAUSE_S)
        world.record.write(f"{name}: {steps}")
        what, sender = steps[-1]
        self.outcomes[what] += 1
        host_ips = {host.ip for host in world.hosts}
        if what == "reset" and len(steps) > 1 and sender in host_ips:
            self.resets_by_hosts += 1
            backend_id = steps[0][1].rpartition(" ")[2]
            (backend,) = [b for b in world.backends if b.backend_id == backend_id]
            world.record.write(
                f"BROKEN FLOW: {name} is open at {backend_id}, which is "
                f"{backend.state} and alive; the host {sender} has reset it"
            )

    def _refused_since(self, since_s: float) -> str:
        outcomes = [
            text
            for name, text in self.traffic.outcomes.items()
            if self.traffic.sent_at_s[name] > since_s
        ]
        refused = sum(text == "reset" for text in outcomes)
        return f"{refused} of {len(outcomes)} refused"


async def play(case: Path) -> bool:
    run = Case(case)
    try:
        return await run.play()
    finally:
        await run.world.close()


sys.exit(run_case(play, CASE))
