"""Plays the case of this folder; see claim.txt."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.standins.deployment import (  # noqa: E402
    Deployment,
    has_trouble,
    route,
    run_case,
)
from review.standins.traffic import Traffic  # noqa: E402

HOSTS = 7
# Of seven machines three lose power at the same moment (0.43; a day of the site has
# herd_kill with power and a share of 0.55), for as long as its node_kill with power.
POWER_LOSSES = 3
DARK_S = 3.5
BACKENDS = 8
LEAVING = 3
LEAVE_GAP_S = 0.2
# From the first drain to the loss of power.
LOSS_DELAY_S = (1.3, 1.6)
ROUNDS = 9
REQUESTS_PER_S = 120.0
# Serializable reads "may be seconds old".
STALE_READS_S = 1.0
DRAIN_TIMEOUT_S = 3.0
STABILITY_S = 4.0


class Case:
    """Some rounds: backends begin to leave, then the first hosts lose power."""

    def __init__(self, case: Path):
        self.world = Deployment(case, HOSTS, lag_s=STALE_READS_S)
        self.world.on_run = self._note_run
        self.traffic = Traffic(self.world, REQUESTS_PER_S)
        self.disturbed_at_s: dict[str, float] = {}
        self.late = 0

    async def play(self) -> bool:
        world = self.world
        await world.start(BACKENDS, [route("r-jobs", 443)])
        self.traffic.start()
        await asyncio.sleep(5.0)
        for number in range(1, ROUNDS + 1):
            world.record.write(f"round {number}")
            await self._play_round()
        summary = f"{self.traffic.summary()} late_at_draining_backends={self.late}"
        world.record.write(summary)
        print(summary)
        return self.late > 0

    async def _play_round(self) -> None:
        world = self.world
        leaving = [b for b in world.backends if b.state == "ready"][:LEAVING]
        for _ in leaving:
            await world.add_backend()
        await asyncio.sleep(random.uniform(1.0, 2.5))
        loss_at_s = time.monotonic() + random.uniform(*LOSS_DELAY_S)
        for backend in leaving:
            world.drain(backend)
            await asyncio.sleep(LEAVE_GAP_S)
        await asyncio.sleep(loss_at_s - time.monotonic())
        if has_trouble():
            await self._lose_power(world.hosts[:POWER_LOSSES])
        else:
            await asyncio.sleep(DARK_S)
        await asyncio.sleep(0.5)
        for backend in leaving:
            world.leave(backend)
        await asyncio.sleep(3.5)

    async def _lose_power(self, hosts) -> None:
        """Let machines answer nothing for a while, then start them anew."""
        for host in hosts:
            host.signal(signal.SIGSTOP)
            self.disturbed_at_s[host.ip] = float("inf")
        names = ", ".join(host.ip for host in hosts)
        self.world.record.write(f"power is lost at {names}")
        await asyncio.sleep(DARK_S)
        for host in hosts:
            host.end()
            host.start()
            self.disturbed_at_s[host.ip] = time.monotonic()
        self.world.record.write("power is back, the processes start")

    def _note_run(self, backend, request, opening):
        arrived_at_s, host_ip = opening
        self.world.record.write(f"run {request} at {backend.backend_id} via {host_ip}")
        if backend.draining_at_s is None:
            return
        sent_s = self.traffic.sent_at_s[request] - backend.draining_at_s
        disturbed_at_s = self.disturbed_at_s.get(host_ip, float("-inf"))
        is_in_touch = arrived_at_s - disturbed_at_s > STABILITY_S
        if sent_s <= DRAIN_TIMEOUT_S or not is_in_touch:
            return
        self.late += 1
        self.world.record.write(
            f"BROKEN DRAIN: {request} was sent {sent_s:.3f} s after the store "
            f"acknowledged that {backend.backend_id} drains, and ran there, through "
            f"{host_ip}, which nothing has disturbed"
        )


async def play(case: Path) -> bool:
    run = Case(case)
    try:
        return await run.play()
    finally:
        await run.world.close()


sys.exit(run_case(play, CASE))
