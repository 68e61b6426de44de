"""Steps for the balancing of flows over upstreams."""

import asyncio
import statistics

from behave import given, then, when

from testbed.policybalance import _half_speed, _lying_reports, fill, short_flows
from testbed.policycases import max_to_mean
from testbed.policyoverload import ReturningCallers
from testbed.policyrecovery import crash
from testbed.policyworld import Sizes, World, run_virtual
from wisteriatiller.ids import UpstreamId
from wisteriatiller.owners.loads import LoadSummary
from wisteriatiller.transport.proxyheader import (
    TLV_CLOCK,
    TLV_NONCE,
    TLV_REPORT,
    LocalHeader,
)

FAULTS = {"half_speed": _half_speed, "lying_reports": _lying_reports}


@when("{upstreams:d} upstreams get {flows:d} flows each within {over:d} s")
def when_filled(context, upstreams, flows, over):
    context.open_flows = {
        policy: run_virtual(fill(1, policy, upstreams, flows, float(over)))[2]
        for policy in ("bounded", "hash")
    }


@then("the largest number of open flows is at most {ratio:g} times the mean")
def then_open_flows_even(context, ratio):
    counts = context.open_flows["bounded"]
    assert max_to_mean(counts) <= ratio, counts


@then("placement by hash alone exceeds {ratio:g} times the mean in the same run")
def then_hash_exceeds_bound(context, ratio):
    counts = context.open_flows["hash"]
    assert max_to_mean(counts) > ratio, counts


@when(
    "{count:d} upstreams at {percent:d} percent load include one with the fault "
    '"{fault}"'
)
def when_one_is_faulty(context, count, percent, fault):
    sizes = Sizes(count, 3, 0.15, flow_idle_s=15)
    run = short_flows(1, "bounded", sizes, FAULTS[fault], percent / 100, 30.0, 30.0)
    context.busy, context.counts, *_ = run_virtual(run)


@then("its busy slots are at most {ratio:g} times the mean")
def then_faulty_within(context, ratio):
    assert context.busy[0] <= ratio * statistics.fmean(context.busy), context.busy


@then("the busy slots of every upstream are within {ratio:g} times the mean")
def then_busy_even(context, ratio):
    assert max_to_mean(context.busy) <= ratio, context.busy


@then("the upstream that reports shedding still gets its flows")
def then_shedding_not_avoided(context):
    others = statistics.fmean(context.counts[1:])
    assert context.counts[0] >= 0.9 * others, context.counts


@when("one of {count:d} upstreams crashes at 80 percent load and restarts cold")
def when_restarted(context, count):
    sizes = Sizes(count, 3, 0.15, flow_idle_s=20)
    context.crash = run_virtual(crash(1, sizes, watched_s=40.0, warm_s=25.0))


@then("no upstream ever had more requests than slots")
def then_slots_not_exceeded(context):
    _, over_slots, excess, _ = context.crash
    assert over_slots == 0 and excess <= 0, (over_slots, excess)


@then("the restarted upstream never had more than {ratio:g} times the others' load")
def then_not_overloaded(context, ratio):
    ratios = [sample[1] for sample in context.crash[0]]
    # The lower bound checks that it is used again after the restart.
    assert 0.5 < max(ratios) <= ratio, ratios


def run_in_world(context, scenario, sizes, **options):
    async def main():
        world = World(sizes, seed=5, **options)
        world.start()
        context.result = await scenario(world)
        world.stop()

    run_virtual(main())


@given("three upstreams of which one was reported without flows {age:d} seconds ago")
def given_outdated_load(context, age):
    async def scenario(world):
        for index in range(300):
            world.open_flow(index)
        await asyncio.sleep(0)
        first, *others = world.owners
        for upstream_id in others:
            load_table = world.owners[upstream_id].load_table
            summary = LoadSummary(((first, 0, 0.0, 0.0, 0.0, 1.0, 0.0),))
            load_table._handle_summary("host", summary)
            load_table.send_summaries = lambda: None
        world.owners[first].load_table.send_summaries = lambda: None
        await asyncio.sleep(age)
        before = world.away_from_home
        for index in range(200):
            world.open_flow(1000 + index)
        return world.away_from_home - before

    run_in_world(context, scenario, {"s": Sizes(3, 3)})


@then("200 new flows all open at their homes")
def then_opened_at_home(context):
    assert context.result == 0, context.result


def probe_answer(health, clock_ms, report=b'{"state": "ready"}'):
    """Send a probe of ``health`` and answer it with the clock and report given."""
    health.make_probe()
    nonce = next(reversed(health._probe_sent_s))
    tlv = {TLV_NONCE: nonce, TLV_CLOCK: clock_ms.to_bytes(8, "big"), TLV_REPORT: report}
    health.handle_probe_answer(LocalHeader(tlv))


@when("an upstream fails for 4 s each time it has come up")
def when_flapping(context):
    async def scenario(world):
        upstream_id, upstream = next(iter(world.upstreams.items()))
        health = world.dispatcher(upstream_id).health
        times = []
        health.subscribe(lambda _, event: times.append((event.value, world.now_s())))
        await asyncio.sleep(3)
        while len(times) < 10:
            upstream.silent = True
            await asyncio.sleep(4.9)
            upstream.silent = False
            back_s = world.now_s()
            ups = len(times)
            while len(times) == ups:
                await asyncio.sleep(0.1)
            times[-1] = ("up", world.now_s() - back_s)
        return [value for event, value in times if event == "up"]

    run_in_world(context, scenario, {"s": Sizes(1, 3)})


@then("it is out of service for about 10, 20, 40, 60 and 60 s")
def then_out_of_service(context):
    expected = (10, 20, 40, 60, 60)
    for measured, wanted in zip(context.result, expected, strict=True):
        assert wanted <= measured <= wanted + 2.5, context.result


@when("an upstream with 8 slots and 10 s of slow start reports cold")
def when_cold(context):
    async def scenario(world):
        health = world.dispatcher(UpstreamId("s-1")).health
        allowed = []
        await asyncio.sleep(3)
        world.upstreams[UpstreamId("s-1")].silent = True
        start_s = world.now_s()
        clock_ms = int(health._clock_offset_ms + start_s * 1000)
        probe_answer(health, clock_ms, b'{"state": "cold"}')
        for at_s in (0, 2, 5, 8, 10):
            await asyncio.sleep(start_s + at_s - world.now_s())
            allowed.append(health.allowed_in_flight(8))
        return allowed

    run_in_world(context, scenario, {"s": Sizes(1, 8, slow_start_s=10)})


@then("it is allowed 1, 2, 4, 6 and 8 requests after 0, 2, 5, 8 and 10 s")
def then_slow_start(context):
    assert context.result == [1, 2, 4, 6, 8], context.result


@when("an upstream's clock goes back by 5 s between two probes")
def when_clock_goes_back(context):
    async def scenario(world):
        health = world.dispatcher(UpstreamId("s-1")).health
        await asyncio.sleep(8)
        events = []
        health.subscribe(lambda _, event: events.append(event.value))
        world.upstreams[UpstreamId("s-1")].clock_start_s += 5
        await asyncio.sleep(1.5)
        return events, health.allowed_in_flight(3), health.is_down

    run_in_world(context, scenario, {"s": Sizes(1, 3)})


@then("a restart is detected and slow start begins")
def then_restart_detected(context):
    assert context.result == (["restarted"], 1, False), context.result


@when("the last of three services in a chain has no live upstream")
def when_dependency_absent(context):
    async def scenario(world):
        for upstream in world.upstreams.values():
            upstream.silent = upstream.upstream.service_id == "c"
        await asyncio.sleep(8)
        callers = ReturningCallers(world, "a", max_returns=0)
        for _ in range(100):
            callers.new_caller()
        await asyncio.sleep(3)
        started = sum(
            upstream.started
            for upstream in world.upstreams.values()
            if upstream.upstream.service_id == "a"
        )
        return started, callers.outcomes, max(callers.refusal_s)

    sizes = {name: Sizes(3, 3) for name in "abc"}
    run_in_world(context, scenario, sizes, depends_on={"a": ("b",), "b": ("c",)})


@then("the first service starts no request and refuses within 1 ms")
def then_refused_early(context):
    started, outcomes, slowest_s = context.result
    assert started == 0 and dict(outcomes) == {"refused": 100}, context.result
    assert slowest_s <= 0.001
