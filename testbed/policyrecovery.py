"""Upstreams that flap, crash and come back."""

import asyncio
import collections
import random
import statistics

from .policybalance import ShortFlows, _first
from .policycases import SETTLE_S, at_most, case, poisson
from .policyoverload import ReturningCallers
from .policyworld import Sizes, World, run_virtual


async def flapping_upstream(seed, duration_s=400.0, period_s=15.0, silent_s=4.0):
    sizes = Sizes(3, 3, 0.04, flow_idle_s=10)
    world = World({"s": sizes}, seed)
    events = collections.Counter()
    world.start()
    for upstream_id in world.upstreams:
        world.dispatcher(upstream_id).health.subscribe(
            lambda upstream_id, event: events.update([event.value])
        )
    await asyncio.sleep(SETTLE_S)
    callers = ReturningCallers(world, "s", max_returns=3)
    until_s = world.now_s() + duration_s
    rng = random.Random(f"flapping {seed}")
    poisson(0.5 * 9 / sizes.mean_s, rng, callers.new_caller, until_s)
    flapper = _first(world)
    flaps = 0
    while world.now_s() < until_s:
        await asyncio.sleep(period_s - silent_s)
        flapper.silent = True
        flaps += 1
        await asyncio.sleep(silent_s)
        flapper.silent = False
    world.stop()
    return flaps, events, callers


@case
def flapping(seed: int):
    """An upstream that is silent for 4 s of each 15 s."""
    flaps, events, callers = run_virtual(flapping_upstream(seed))
    total = sum(callers.outcomes.values())
    # With hold-downs of 10, 20, 40 and 60 s, at most a third of the flaps can take
    # effect in 400 s.
    yield {
        "flaps": flaps,
        "down_events": events["down"],
        "up_events": events["up"],
        "answered_share": callers.outcomes["answered"] / total,
        "unknown": callers.outcomes["unknown"],
    } | at_most(events["down"] / flaps, 0.33)


async def crash(seed, sizes: Sizes, down_s=10.0, watched_s=120.0, warm_s=70.0):
    world = World({"s": sizes}, seed)
    world.start()
    await asyncio.sleep(SETTLE_S)
    rate = 0.8 * sizes.upstreams * sizes.slots / sizes.mean_s
    until_s = world.now_s() + warm_s + down_s + watched_s
    traffic = ShortFlows(world, "s", rate, seed, until_s)
    await asyncio.sleep(warm_s)
    upstream = _first(world)
    upstream_id = upstream.upstream.upstream_id
    for item in world.upstreams.values():
        item.reset_record()

    def lose_flows(_, event):
        if event.value == "down":
            for flow in list(world.flows.values()):
                if flow.upstream.upstream_id == upstream_id:
                    world.close_flow(flow)

    world.dispatcher(upstream_id).health.subscribe(lose_flows)
    upstream.silent = True
    await asyncio.sleep(down_s)
    upstream.restart(cold_s=10.0)
    restarted_s = world.now_s()
    samples = []
    while world.now_s() < restarted_s + watched_s:
        before = [item.busy() for item in world.upstreams.values()]
        await asyncio.sleep(5)
        after = [item.busy() for item in world.upstreams.values()]
        busy = [b - a for a, b in zip(before, after, strict=True)]
        counts = [item.open_flows for item in world.upstreams.values()]
        samples.append(
            (
                world.now_s() - restarted_s,
                busy[0] / statistics.fmean(busy[1:]),
                counts[0] / statistics.fmean(counts[1:]),
            )
        )
    over = sum(item.over_slots for item in world.upstreams.values())
    excess = max(
        item.max_running - item.upstream.slots for item in world.upstreams.values()
    )
    world.stop()
    return samples, over, excess, traffic.outcomes


def first_even(samples, index: int, tolerance: float) -> float:
    """When the ratio first came within the tolerance of 1; -1 if it did not."""
    return next((s[0] for s in samples if abs(s[index] - 1) <= tolerance), -1.0)


def time_to_even(samples, index: int, tolerance: float) -> float:
    """When the ratio came within the tolerance of 1 for good; -1 if it did not."""
    late = [s[0] for s in samples if abs(s[index] - 1) > tolerance]
    if not late:
        return 0.0
    return -1.0 if late[-1] == samples[-1][0] else late[-1]


@case
def recovery(seed: int):
    """A crash of 10 s, a cold restart, and the time to even load."""
    sizes = Sizes(7, 3, 0.05, flow_idle_s=60)
    samples, over, excess, outcomes = run_virtual(crash(seed, sizes))
    yield {
        "over_slots": over,
        "max_running_above_slots": excess,
        "busy_first_even_s": first_even(samples, 1, 0.15),
        "open_first_even_s": first_even(samples, 2, 0.05),
        "busy_even_after_s": time_to_even(samples, 1, 0.15),
        "open_even_after_s": time_to_even(samples, 2, 0.05),
        "busy_ratio_max": max(s[1] for s in samples),
        "unknown": outcomes["unknown"],
        "refused": outcomes["refused"],
        "answered": outcomes["answered"],
    } | at_most(over, 0)
