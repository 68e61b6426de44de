"""Balance of flows and busy slots over the upstreams of a service."""

import asyncio
import collections
import random
import statistics

from .policycases import (
    BUSY_TARGET,
    OPEN_TARGET,
    POLICIES,
    SETTLE_S,
    USER_SIZES,
    Sampler,
    at_most,
    case,
    max_to_mean,
    poisson,
    variation,
)
from .policyworld import Result, Sizes, World, run_virtual


async def fill(seed: int, policy: str, upstreams: int, flows: int, over_s: float):
    """Open all flows within ``over_s`` without requests; sample the open flows."""
    world = World({"s": Sizes(upstreams, 3)}, seed, policy)
    world.start()
    await asyncio.sleep(SETTLE_S)
    start_s = world.now_s()
    total = upstreams * flows
    poisson(
        total / over_s,
        random.Random(f"fill {seed}"),
        lambda: world.open_flow(world.random.randrange(1 << 20)),
        start_s + over_s,
    )
    await asyncio.sleep(over_s / 6)
    sampler = Sampler(world.upstreams.values())
    await asyncio.sleep(over_s * 5 / 6 + 1)
    sampler.stop()
    counts = [upstream.open_flows for upstream in world.upstreams.values()]
    world.stop()
    return world, sampler, counts


@case
def balance_flows(seed: int):
    """Open-flow balance when all flows of a deployment open within a minute."""
    runs = [
        (name, 1, policy, size)
        for name, size in USER_SIZES.items()
        for policy in POLICIES
    ]
    large = USER_SIZES["printer-hub"]
    runs += [
        (f"printer-hub x{scale}", scale, policy, large)
        for scale in (10, 20)
        for policy in ("bounded", "hash")
    ]
    for name, scale, policy, (upstreams, _, flows) in runs:
        world, sampler, counts = run_virtual(
            fill(seed, policy, upstreams * scale, flows, 60.0)
        )
        mean_ratio = statistics.fmean(sampler.ratios)
        values = {
            "service": name.replace(" ", "_"),
            "policy": policy,
            "upstreams": len(counts),
            "open_flows": sum(counts),
            "open_max_mean_end": max_to_mean(counts),
            "open_max_mean_time_averaged": mean_ratio,
            "open_cv": variation(counts),
            "away_from_home": world.away_from_home / max(1, world.opened),
        }
        if policy == "bounded":
            values |= at_most(max_to_mean(counts), OPEN_TARGET)
        yield values


class ShortFlows:
    """Flows of one request each, which stay open until idle."""

    def __init__(self, world: World, service: str, rate: float, seed: int, until_s):
        self.outcomes = collections.Counter()
        self._world = world
        self._service = service
        self._loop = asyncio.get_running_loop()
        poisson(rate, random.Random(f"short flows {seed}"), self._open, until_s)

    def _open(self):
        caller = self._world.random.randrange(60_000)
        flow = self._world.open_flow(caller, self._service)
        idle_s = self._world.sizes[self._service].flow_idle_s
        self._loop.call_later(idle_s, self._world.close_flow, flow)
        flow.request(self._done)

    def _done(self, result: Result):
        self.outcomes[result.outcome] += 1


async def short_flows(
    seed, policy, sizes: Sizes, prepare, load, warm_s, measured_s, sample=False
):
    world = World({"s": sizes}, seed, policy)
    world.start()
    await asyncio.sleep(SETTLE_S)
    prepare(world)
    rate = load * sizes.upstreams * sizes.slots / sizes.mean_s
    until_s = world.now_s() + warm_s + measured_s
    traffic = ShortFlows(world, "s", rate, seed, until_s)
    await asyncio.sleep(warm_s)
    for upstream in world.upstreams.values():
        upstream.reset_record()
    traffic.outcomes.clear()
    sampler = Sampler(world.upstreams.values())
    await asyncio.sleep(measured_s)
    sampler.stop()
    busy = [item.busy() / measured_s for item in world.upstreams.values()]
    counts = [item.open_flows for item in world.upstreams.values()]
    overshoot = sum(item.over_slots for item in world.upstreams.values())
    world.stop()
    return busy, counts, sampler, traffic.outcomes, overshoot


def _short_flow_values(policy, result, sizes: Sizes, measured_s: float) -> dict:
    busy, counts, sampler, outcomes, overshoot = result
    total = sum(outcomes.values())
    return {
        "policy": policy,
        "upstreams": sizes.upstreams,
        "slots": sizes.slots,
        "busy_max_mean": max_to_mean(busy),
        "busy_cv": variation(busy),
        "open_max_mean": statistics.fmean(sampler.ratios),
        "open_cv": statistics.fmean(sampler.variations),
        "answered_share": outcomes["answered"] / max(1, total),
        "over_slots": overshoot,
    }


@case
def balance_busy(seed: int):
    """Busy slots at a steady 80% load of short flows."""
    runs = [
        (name, policy, Sizes(n, slots, 0.05, flow_idle_s=60), 60.0)
        for name, (n, slots, _) in USER_SIZES.items()
        for policy in POLICIES
    ]
    for scale in (10, 20):
        mean_s = 0.025 * scale
        sizes = Sizes(7 * scale, 2, mean_s, int(100_000 * mean_s), 60)
        runs += [(f"printer-hub_x{scale}", p, sizes, 120.0) for p in POLICIES]
    for name, policy, sizes, measured_s in runs:
        result = run_virtual(
            short_flows(seed, policy, sizes, lambda world: None, 0.8, 70, measured_s)
        )
        values = {"service": name}
        values |= _short_flow_values(policy, result, sizes, measured_s)
        if policy == "bounded":
            values |= at_most(values["busy_max_mean"], BUSY_TARGET)
        yield values


def _first(world: World):
    return next(iter(world.upstreams.values()))


def _cold(world: World):
    upstream = _first(world)
    upstream.restart(cold_s=30.0)


def _half_speed(world: World):
    _first(world).speed = 0.5


def _late_reports(world: World):
    for upstream in world.upstreams.values():
        upstream.report_lag_s = 10.0


def _lying_reports(world: World):
    upstreams = list(world.upstreams.values())
    upstreams[0].report_state = "shedding"
    upstreams[0].report_factor = 10.0
    upstreams[1].report_factor = 0.0


@case
def balance_faults(seed: int):
    """Busy slots with a cold, a slow, and wrongly reporting upstreams."""
    faults = {
        "cold": (_cold, 1.0, 40.0),
        "half_speed": (_half_speed, 70.0, 60.0),
        "late_reports": (_late_reports, 70.0, 60.0),
        "lying_reports": (_lying_reports, 70.0, 60.0),
    }
    for service in ("stock-browser", "printer-hub"):
        upstreams, slots, _ = USER_SIZES[service]
        sizes = Sizes(upstreams, slots, 0.05, flow_idle_s=60, slow_start_s=30)
        for fault, (prepare, warm_s, measured_s) in faults.items():
            for policy in POLICIES:
                result = run_virtual(
                    short_flows(seed, policy, sizes, prepare, 0.8, warm_s, measured_s)
                )
                busy, counts = result[0], result[1]
                others = statistics.fmean(busy[1:])
                values = {"service": service, "fault": fault}
                values |= _short_flow_values(policy, result, sizes, measured_s)
                values["faulty_busy_to_others"] = busy[0] / others
                values["faulty_flows_to_others"] = counts[0] / statistics.fmean(
                    counts[1:]
                )
                if policy == "bounded":
                    values |= at_most(values["busy_max_mean"], BUSY_TARGET)
                yield values


async def rush(seed, policy, sizes: Sizes, flows, over_s):
    """All flows reconnect within ``over_s`` and send a request each."""
    world = World({"s": sizes}, seed, policy)
    world.start()
    await asyncio.sleep(SETTLE_S)
    rate = sizes.upstreams * flows / over_s
    traffic = ShortFlows(world, "s", rate, seed, world.now_s() + over_s)
    await asyncio.sleep(5)
    for upstream in world.upstreams.values():
        upstream.reset_record()
    sampler = Sampler(world.upstreams.values())
    await asyncio.sleep(over_s - 5)
    sampler.stop()
    busy = [item.busy() / (over_s - 5) for item in world.upstreams.values()]
    counts = [item.open_flows for item in world.upstreams.values()]
    overshoot = sum(item.over_slots for item in world.upstreams.values())
    world.stop()
    return busy, counts, sampler, traffic.outcomes, overshoot


@case
def balance_rush(seed: int):
    """The morning rush: all printers reconnect within a minute."""
    for service in ("printer-hub", "stock-browser"):
        upstreams, slots, flows = USER_SIZES[service]
        sizes = Sizes(upstreams, slots, 0.02)
        for policy in POLICIES:
            result = run_virtual(rush(seed, policy, sizes, flows, 60.0))
            values = {"service": service}
            values |= _short_flow_values(policy, result, sizes, 55.0)
            values["open_max_mean_end"] = max_to_mean(result[1])
            if policy == "bounded":
                values |= at_most(values["open_max_mean_end"], OPEN_TARGET)
            yield values
