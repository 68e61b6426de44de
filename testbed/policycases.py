"""The list of cases of ``bench_policy``, their output, and what they share."""

import asyncio
import random
import statistics

POLICIES = ("bounded", "hash", "least_connections", "two_choices")
BUSY_TARGET = 1.10
OPEN_TARGET = 1.05
P99_TARGET = 1.5
GOODPUT_TARGET = 0.95
RETRY_TARGET = 0.10
SETTLE_S = 3.0

# The users' services: upstreams, slots and open flows for each upstream.
USER_SIZES = {
    "stock-browser": (7, 3, 4300),
    "printer-hub": (7, 2, 4500),
    "sheet-service": (3, 3, 4300),
    "artwork-store": (3, 2, 4500),
}

CASES = {}


def case(function):
    """Register a case; it takes a seed and yields dictionaries to print."""
    CASES[function.__name__] = function
    return function


def show(name: str, seed: int, values: dict) -> None:
    pairs = [f"case={name}", f"seed={seed}"]
    for key, value in values.items():
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        pairs.append(f"{key}={text}")
    print(" ".join(pairs), flush=True)


def at_most(value: float, target: float) -> dict:
    return {"target": f"<={target}", "met": "yes" if value <= target else "no"}


def at_least(value: float, target: float) -> dict:
    return {"target": f">={target}", "met": "yes" if value >= target else "no"}


def max_to_mean(values) -> float:
    values = list(values)
    mean = statistics.fmean(values)
    return max(values) / mean if mean else 0.0


def variation(values) -> float:
    values = list(values)
    mean = statistics.fmean(values)
    return statistics.pstdev(values) / mean if mean else 0.0


def percentile(values, share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def poisson(rate: float, rng: random.Random, action, until_s: float) -> None:
    """Call ``action`` at random times until a time of the loop."""
    loop = asyncio.get_running_loop()

    def fire():
        if loop.time() < until_s:
            action()
            loop.call_later(rng.expovariate(rate), fire)

    loop.call_later(rng.expovariate(rate), fire)


class Sampler:
    """Samples the open flows of the upstreams each second."""

    def __init__(self, upstreams):
        self.ratios = []
        self.variations = []
        self._upstreams = list(upstreams)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while True:
            counts = [upstream.open_flows for upstream in self._upstreams]
            if sum(counts):
                self.ratios.append(max_to_mean(counts))
                self.variations.append(variation(counts))
            await asyncio.sleep(1)

    def stop(self):
        self._task.cancel()
