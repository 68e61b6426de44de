"""Clients that send requests at a steady rate, each on a flow of its own."""

import asyncio
import time

from .deployment import SERVICE_ADDRESS, Deployment


class Traffic:
    """Requests to one route, with the time at which each opening packet was sent."""

    def __init__(
        self,
        world: Deployment,
        per_s: float,
        address: tuple[str, int] = SERVICE_ADDRESS,
    ):
        self._world = world
        self._per_s = per_s
        self._address = address
        self.sent_at_s: dict[str, float] = {}
        self.outcomes: dict[str, str] = {}

    def start(self) -> None:
        self._world.spawn(self._run())

    def summary(self) -> str:
        answered = sum(text.startswith("answered") for text in self.outcomes.values())
        return f"requests={len(self.outcomes)} answered={answered}"

    async def _run(self) -> None:
        started_s = time.monotonic()
        number = 0
        while True:
            number += 1
            self._world.spawn(self._ask(f"request-{number}"))
            due_s = started_s + number / self._per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _ask(self, request: str) -> None:
        self.sent_at_s[request] = time.monotonic()
        outcome, _ = await self._world.clients.request(self._address, request)
        self.outcomes[request] = outcome
        if not outcome.startswith("answered"):
            self._world.record.write(f"{request}: {outcome}")
