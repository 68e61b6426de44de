"""Services that depend on others, and chains of them."""

import asyncio
import collections
import random

from wisteriatiller.ids import UpstreamId
from wisteriatiller.requests.interfaces import DispatchPolicy

from .policycases import (
    RETRY_TARGET,
    SETTLE_S,
    at_least,
    at_most,
    case,
    percentile,
    poisson,
)
from .policyoverload import ReturningCallers, goodput, retries_of
from .policyworld import Result, Sizes, World, run_virtual


def chain_work(world: World, service: str, upstream_id: UpstreamId):
    """The work of an upstream that calls ``service`` for each request."""
    ip = world.upstreams[upstream_id].upstream.address.ip
    flows = [world.open_flow(0, service, ip) for _ in range(20)]

    def work(go_on):
        def done(result: Result):
            if result.outcome == "answered":
                go_on(0)
            else:
                go_on(max(1, int(result.retry_after_s)))

        world.random.choice(flows).request(done)

    return work


async def dependent(seed, early: bool, absent: bool, duration_s=60.0):
    sizes = {"front": Sizes(3, 60, 0.02), "back": Sizes(3, 3, 0.12)}
    world = World(sizes, seed, depends_on={"front": ("back",)})
    world.start()
    if not early:
        for owner in world.owners.values():
            owner.shards.policy = DispatchPolicy()
    await asyncio.sleep(SETTLE_S)
    for upstream_id, upstream in world.upstreams.items():
        if upstream.upstream.service_id == "front":
            upstream.work = chain_work(world, "back", upstream_id)
        elif absent:
            upstream.silent = True
    capacity = 9 / sizes["back"].mean_s
    callers = ReturningCallers(world, "front", max_returns=2)
    start_s = world.now_s() + 10
    end_s = start_s + duration_s
    rng = random.Random(f"dependent {seed}")
    poisson(2 * capacity, rng, callers.new_caller, end_s)
    await asyncio.sleep(10)
    for upstream in world.upstreams.values():
        upstream.reset_record()
    callers.refusal_s.clear()
    await asyncio.sleep(duration_s)
    started = collections.Counter()
    answered = collections.Counter()
    for upstream in world.upstreams.values():
        started[upstream.upstream.service_id] += upstream.started
        answered[upstream.upstream.service_id] += upstream.answered
    good = goodput(callers, start_s, end_s, 2.0) / capacity
    retries = {name: retries_of(world, name) for name in sizes}
    world.stop()
    return callers, good, started, answered, retries


@case
def dependency(seed: int):
    """A dependency at twice its capacity, and one that is absent."""
    for absent in (False, True):
        for early in (True, False):
            callers, good, started, answered, retries = run_virtual(
                dependent(seed, early, absent)
            )
            wasted = 1 - answered["front"] / max(1, started["front"])
            values = {
                "dependency": "absent" if absent else "overloaded",
                "early_refusal": "yes" if early else "no",
                "goodput_share": good,
                "front_started": started["front"],
                "front_slots_wasted_share": wasted,
                "back_started": started["back"],
                "refusal_p99_ms": percentile(callers.refusal_s, 0.99) * 1000,
                "front_retries": retries["front"][0],
                "back_retries": retries["back"][0],
            }
            if early and absent:
                values |= at_most(started["front"], 0)
            elif early:
                values |= at_least(good, 0.9)
            yield values


async def chained(seed, duration_s=60.0):
    """Three services in a chain; the last refuses a fifth of its requests."""
    names = ("a", "b", "c")
    sizes = {name: Sizes(3, 6, 0.02) for name in names}
    world = World(sizes, seed, depends_on={"a": ("b",), "b": ("c",)})
    world.start()
    await asyncio.sleep(SETTLE_S)
    next_of = {"a": "b", "b": "c"}
    for upstream_id, upstream in world.upstreams.items():
        following = next_of.get(upstream.upstream.service_id)
        if following:
            upstream.work = chain_work(world, following, upstream_id)
        else:
            upstream.refuse_share = 0.2
    callers = ReturningCallers(world, "a", max_returns=0)
    rng = random.Random(f"chain {seed}")
    poisson(150, rng, callers.new_caller, world.now_s() + duration_s)
    await asyncio.sleep(duration_s + 3)
    result = {name: retries_of(world, name) for name in names}
    world.stop()
    return result


@case
def chain(seed: int):
    """Retries along a chain of dependencies are not multiplied."""
    retries = run_virtual(chained(seed))
    first = retries["a"][1]
    last_load = sum(retries["c"]) / first - 1
    yield {
        "requests": first,
        "retries_a": retries["a"][0],
        "retries_b": retries["b"][0],
        "retries_c": retries["c"][0],
        "extra_load_at_last": last_load,
    } | at_most(last_load, RETRY_TARGET)
