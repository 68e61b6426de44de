"""Plays the case of this folder; see claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.standins.deployment import (  # noqa: E402
    OTHER_SERVICE,
    SERVICE,
    Deployment,
    has_trouble,
    manifest,
    route,
    run_case,
)
from review.standins.traffic import Traffic  # noqa: E402

HOSTS = 5
BACKENDS_PER_SERVICE = 4
REQUESTS_PER_S = 40.0
CONFIG_APPLY_S = 3.0
DRAIN_TIMEOUT_S = 3.0
# One entry of another writer: a value below platform.value_bytes, a key below 200
# bytes. Its key is the last of a page, since a page holds about 1 MB.
OTHER_KEY = "servers/artwork-store&printer-hub.bak"
OTHER_VALUE_BYTES = 900_000
SETTLE_S = 8.0
JUDGED_S = 10.0


class Case:
    """One run: traffic, the entry of another writer, then a manifest and a drain."""

    def __init__(self, case: Path):
        self.world = Deployment(case, HOSTS)
        self.world.on_run = self._note_run
        self.traffic = Traffic(self.world, REQUESTS_PER_S)
        self.moved_at_s: float | None = None
        self.broken = {"CONFIG": 0, "DRAIN": 0}
        self.judged = 0

    async def play(self) -> bool:
        world = self.world
        for _ in range(BACKENDS_PER_SERVICE):
            await world.add_backend(OTHER_SERVICE)
        await world.start(BACKENDS_PER_SERVICE, [route("r-jobs", 443, SERVICE)])
        self.traffic.start()
        await asyncio.sleep(5.0)
        if has_trouble():
            world.store.put(OTHER_KEY, os.urandom(OTHER_VALUE_BYTES))
            world.record.write(f"another writer writes {OTHER_KEY!r}")
        await asyncio.sleep(SETTLE_S)
        leaving = next(b for b in world.backends if b.service == SERVICE)
        world.drain(leaving)
        world.store.put("op/config", manifest(9, [route("r-jobs", 443, OTHER_SERVICE)]))
        self.moved_at_s = time.monotonic()
        world.record.write(f"version 9 is acknowledged: r-jobs goes to {OTHER_SERVICE}")
        await asyncio.sleep(CONFIG_APPLY_S + JUDGED_S)
        refused = sum(status == 400 for _, _, status in world.store.calls)
        summary = (
            f"{self.traffic.summary()} judged={self.judged} "
            f"run_by_old_service={self.broken['CONFIG']} "
            f"at_draining_backend={self.broken['DRAIN']} malformed_calls={refused}"
        )
        world.record.write(summary)
        print(summary)
        return self.broken["CONFIG"] > 0

    def _note_run(self, backend, request, opening):
        arrived_at_s, host_ip = opening
        self.world.record.write(f"run {request} at {backend.backend_id} via {host_ip}")
        if self.moved_at_s is None:
            return
        sent_at_s = self.traffic.sent_at_s[request]
        is_due = sent_at_s - self.moved_at_s > CONFIG_APPLY_S
        self.judged += is_due
        if is_due and backend.service == SERVICE:
            late_s = sent_at_s - self.moved_at_s
            self._find("CONFIG", f"{request} sent {late_s:.3f} s after", backend)
        drained_at_s = backend.draining_at_s
        if drained_at_s is not None and sent_at_s - drained_at_s > DRAIN_TIMEOUT_S:
            late_s = arrived_at_s - drained_at_s
            self._find("DRAIN", f"{request} came {late_s:.3f} s after", backend)

    def _find(self, rule: str, text: str, backend) -> None:
        self.broken[rule] += 1
        self.world.record.write(
            f"BROKEN {rule}: {text} the acknowledgement, run by {backend.backend_id} "
            f"of {backend.service}"
        )


async def play(case: Path) -> bool:
    run = Case(case)
    try:
        return await run.play()
    finally:
        await run.world.close()


sys.exit(run_case(play, CASE))
