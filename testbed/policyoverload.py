"""Overload: goodput, retries, and the return of callers after a refusal."""

import asyncio
import collections
import random
import statistics

from .policycases import (
    GOODPUT_TARGET,
    RETRY_TARGET,
    SETTLE_S,
    at_least,
    at_most,
    case,
    max_to_mean,
    percentile,
    poisson,
)
from .policyworld import Flow, Result, Sizes, World, run_virtual


class ReturningCallers:
    """Callers that send one request each and come back when told to."""

    def __init__(self, world: World, service: str, max_returns: int):
        self.outcomes = collections.Counter()
        self.good: list[tuple[float, float]] = []
        self.refusal_s: list[float] = []
        self.returns_at: collections.Counter = collections.Counter()
        self.returns_of_answered: list[int] = []
        self._world = world
        self._service = service
        self._max_returns = max_returns
        self._loop = asyncio.get_running_loop()

    def new_caller(self) -> None:
        flow = self._world.open_flow(
            self._world.random.randrange(1 << 20), self._service
        )
        self._send(flow, 0)

    def _send(self, flow: Flow, returns: int) -> None:
        if returns:
            self.returns_at[int(self._loop.time())] += 1
        flow.request(lambda result: self._done(flow, returns, result))

    def _done(self, flow: Flow, returns: int, result: Result) -> None:
        self.outcomes[result.outcome] += 1
        if result.outcome == "answered":
            self.good.append((self._loop.time(), result.latency_s))
            self.returns_of_answered.append(returns)
        elif result.outcome == "refused":
            self.refusal_s.append(result.latency_s)
            if returns < self._max_returns:
                self._loop.call_later(
                    result.retry_after_s, self._send, flow, returns + 1
                )
                return
        self._world.close_flow(flow)


def goodput(callers: ReturningCallers, start_s, end_s, deadline_s) -> float:
    good = sum(
        start_s <= at_s < end_s and latency_s <= deadline_s + 0.01
        for at_s, latency_s in callers.good
    )
    return good / (end_s - start_s)


def retries_of(world: World, service: str) -> tuple[int, int]:
    """Repeats and first dispatches at the upstreams of a service, since the start."""
    repeats = received = 0
    for upstream_id, upstream in world.upstreams.items():
        if upstream.upstream.service_id == service:
            repeats += world.dispatcher(upstream_id).retry_budget.spent
            received += upstream.received_in_total
    return repeats, received - repeats


async def overloaded(seed, factor, faulty, duration_s=60.0):
    sizes = Sizes(3, 3, 0.04)
    world = World({"s": sizes}, seed)
    world.start()
    await asyncio.sleep(SETTLE_S)
    for upstream in world.upstreams.values():
        if faulty:
            upstream.refuse_share, upstream.loss_share = 0.2, 0.05
    capacity = 9 / sizes.mean_s
    callers = ReturningCallers(world, "s", max_returns=3)
    start_s = world.now_s() + 10
    end_s = start_s + duration_s
    rng = random.Random(f"overload {seed}")
    poisson(factor * capacity, rng, callers.new_caller, end_s)
    await asyncio.sleep(10)
    for upstream in world.upstreams.values():
        upstream.reset_record()
    await asyncio.sleep(duration_s)
    good = goodput(callers, start_s, end_s, sizes.deadline_ms / 1000)
    busy = sum(item.busy() for item in world.upstreams.values()) / duration_s / 9
    repeats, first = retries_of(world, "s")
    over = sum(item.over_slots for item in world.upstreams.values())
    world.stop()
    return callers, good / capacity, busy, repeats / first, over


async def wave(seed, total=9000):
    """All callers at once; each comes back until it is answered."""
    sizes = Sizes(3, 3, 0.04)
    world = World({"s": sizes}, seed)
    world.start()
    await asyncio.sleep(SETTLE_S)
    callers = ReturningCallers(world, "s", max_returns=1000)
    start_s = world.now_s()
    loop = asyncio.get_running_loop()
    for _ in range(total):
        loop.call_later(world.random.random(), callers.new_caller)
    while (
        callers.outcomes["answered"] + callers.outcomes["unknown"] < total
        and world.now_s() < start_s + 600
    ):
        await asyncio.sleep(0.5)
    taken_s = world.now_s() - start_s
    world.stop()
    return callers, taken_s, total * sizes.mean_s / 9


@case
def overload(seed: int):
    """Goodput, refusals and returns at 2 and 5 times the capacity."""
    for factor in (2, 5):
        for faulty in (False, True):
            callers, share, busy, retry_share, over = run_virtual(
                overloaded(seed, factor, faulty)
            )
            values = {
                "factor": factor,
                "upstreams_refuse_and_lose": "yes" if faulty else "no",
                "goodput_share": share,
                "busy_share": busy,
                "refusal_p50_ms": percentile(callers.refusal_s, 0.5) * 1000,
                "refusal_p99_ms": percentile(callers.refusal_s, 0.99) * 1000,
                "refusal_max_ms": percentile(callers.refusal_s, 1) * 1000,
                "retry_share": retry_share,
                "unknown": callers.outcomes["unknown"],
                "over_slots": over,
            }
            if faulty:
                values |= at_most(retry_share, RETRY_TARGET)
            else:
                values |= at_least(share, GOODPUT_TARGET)
            yield values


@case
def return_wave(seed: int):
    """The returns of 40 s worth of callers that all come at once."""
    callers, taken_s, ideal_s = run_virtual(wave(seed))
    seconds = sorted(callers.returns_at)
    per_second = [callers.returns_at[s] for s in range(seconds[0], seconds[-1] + 1)]
    yield {
        "wave": 9000,
        "ideal_s": ideal_s,
        "taken_s": taken_s,
        "answered": callers.outcomes["answered"],
        "unknown": callers.outcomes["unknown"],
        "returns_max_per_s": max(per_second),
        "capacity_per_s": 225,
        "returns_max_mean": max_to_mean(per_second),
        "mean_returns": statistics.fmean(callers.returns_of_answered),
        "max_returns": max(callers.returns_of_answered),
    } | at_most(max(per_second) / 225, 1.5)
