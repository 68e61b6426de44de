"""Steps for the overflow of new flows between zones."""

from behave import given, then, when

from testbed.steeringparts import upstream
from testbed.unevenworld import (
    AS_PRINTED,
    MOVED,
    SITES,
    WARMUP_S,
    Policy,
    UnevenWorld,
)
from tests.steeringharness import SteeringHarness, established_packet, opening_packet
from wisteriatiller.ids import ServiceId, ZoneId
from wisteriatiller.steering.evidence import ServiceLoad, ZoneFindings
from wisteriatiller.steering.reporting import Reporter
from wisteriatiller.steering.selection import ZoneLoad, plan_spill
from wisteriatiller.telemetry import Counters, EventLog

SLOTS = 40
ZONE_NAMES = ("a", "b", "c")
DEFAULT_SEED = 1


@given("most clients move to the third zone, and a burst comes there")
def given_moved(context):
    context.demand = MOVED


@given("a burst of {factor:g} times in the third zone from second 8 to 13")
def given_burst(context, factor):
    context.demand = AS_PRINTED._replace(burst=factor)


@given("most clients are in the third zone, without waves")
def given_steady(context):
    context.demand = MOVED._replace(moved_at_s=-WARMUP_S, burst=1.0)
    context.swing = 0.0


@given("most clients are in the third zone, without waves, by seed {seed:d}")
def given_steady_seed(context, seed):
    given_steady(context)
    context.seed = seed


@given("the first zone is cut off at second {at_s:g}")
def given_cut(context, at_s):
    def cut(world):
        world.exchange.cut_zones = {0}
        for one in world.upstreams.values():
            one.is_dark = one.is_dark or one.listed.zone == "a"

    context.incident = (at_s, cut)


@when('{hosts:d} hosts of "{site}" serve {factor:g} times the load for {s:g} seconds')
def when_served(context, hosts, site, factor, s):
    site = SITES[site].scaled(factor)
    site = site._replace(swing=getattr(context, "swing", site.swing))
    demand = getattr(context, "demand", AS_PRINTED)
    seed = getattr(context, "seed", DEFAULT_SEED)
    world = context.uneven = UnevenWorld(site, demand, hosts, seed, Policy())
    if hasattr(context, "incident"):
        at_s, cause = context.incident
        world.clock.call_later(WARMUP_S + at_s, lambda: cause(world))
    context.result = world.run(s)


def placements(context, reason=None):
    """New flows after the warm-up, with times that count from its end."""
    start_s = context.uneven.started_at_s + WARMUP_S
    found = [
        one._replace(placed_at_s=one.placed_at_s - start_s)
        for one in context.uneven.observer.placements
        if one.placed_at_s >= start_s
    ]
    return [one for one in found if reason in (None, one.reason)]


@then("at least {percent:d} percent of the requests are answered in time")
def then_in_time(context, percent):
    result = context.result
    assert result.in_time >= percent / 100 * result.requests, result


@then("flows of every zone have overflowed")
def then_all_overflowed(context):
    found = {one.client_zone for one in placements(context, "overflow")}
    assert found == {0, 1, 2}, found


@then("no flow has left its zone")
def then_none_left(context):
    left = [one for one in placements(context) if one.client_zone != one.upstream_zone]
    assert not left, left[:5]


@then("only flows of the third zone have overflowed, to both other zones")
def then_third_overflowed(context):
    overflows = placements(context, "overflow")
    found = {(one.client_zone, one.upstream_zone) for one in overflows}
    assert found == {(2, 0), (2, 1)}, found


@then("the first flow overflows between second {start_s:g} and {end_s:g}")
def then_first(context, start_s, end_s):
    first_s = min(one.placed_at_s for one in placements(context, "overflow"))
    assert start_s <= first_s <= end_s, first_s


@then("no flow overflows after second {at_s:g}")
def then_none_after(context, at_s):
    overflows = placements(context, "overflow")
    late = [one for one in overflows if one.placed_at_s > at_s]
    assert not late, late[:5]


@then("flows overflow to the first zone before second {at_s:g}")
def then_before(context, at_s):
    overflows = placements(context, "overflow")
    assert any(
        one.upstream_zone == 0 and one.placed_at_s < at_s for one in overflows
    ), len(overflows)


@then("no flow overflows to the first zone after second {at_s:g}")
def then_none_to_first(context, at_s):
    overflows = placements(context, "overflow")
    late = [
        one for one in overflows if one.upstream_zone == 0 and one.placed_at_s > at_s
    ]
    assert not late, late[:5]


@then("flows overflow to the second zone after second {at_s:g}")
def then_to_second(context, at_s):
    overflows = placements(context, "overflow")
    assert any(
        one.upstream_zone == 1 and one.placed_at_s > at_s for one in overflows
    ), len(overflows)


def shares_by_window(context, window_s, start_s):
    """Where the flows of the third zone's clients went, for each window."""
    windows = {}
    for one in placements(context):
        if one.client_zone == 2 and one.placed_at_s >= start_s:
            window = int((one.placed_at_s - start_s) / window_s)
            windows.setdefault(window, []).append(one.upstream_zone)
    return [
        [zones.count(zone) / len(zones) for zone in range(3)]
        for _, zones in sorted(windows.items())
    ]


@then("some flows have overflowed in every {window_s:g} seconds from second {s:g} on")
def then_always_some(context, window_s, s):
    context.windows = shares_by_window(context, window_s, s)
    assert all(own < 1.0 for _, _, own in context.windows), context.windows


@then(
    "the share of flows to no zone is ever {limit:g} from its mean, in {s:g} seconds "
    "each"
)
def then_no_swing(context, limit, s):
    for zone in range(3):
        shares = [window[zone] for window in context.windows]
        mean = sum(shares) / len(shares)
        found = [round(share - mean, 3) for share in shares]
        assert max(map(abs, found)) < limit, (zone, mean, found)


@given(
    "zones of 40 slots whose clients have {first:d}, {second:d}, {third:d} requests "
    "in flight"
)
def given_demands(context, first, second, third):
    loads = [
        ZoneLoad(ZoneId(name), SLOTS, demand)
        for name, demand in zip(ZONE_NAMES, (first, second, third), strict=True)
    ]
    context.plan = plan_spill(loads[0], loads[1:])


@then('{percent:d} percent of the flows of the first zone overflow, to "{zones}"')
def then_plan(context, percent, zones):
    assert round(100 * context.plan.fraction) == percent, context.plan
    assert ", ".join(context.plan.weights) == zones, context.plan


@then('{percent:d} percent of the flows of the first zone overflow, to ""')
def then_no_plan(context, percent):
    assert context.plan.fraction == 0.0 and not context.plan.weights, context.plan


def make_upstreams(zones):
    return [
        upstream(f"{zone}{number}", zone=zone, slots=2)
        for zone in zones
        for number in range(20)
    ]


def zone_load(zone, per_slot, age_s=0.5):
    """The load of a zone's clients, all of whose requests are in their own zone."""
    return ServiceLoad(
        reporting_zone=ZoneId(zone),
        service=ServiceId("stock"),
        upstream_zone=ZoneId(zone),
        in_flight=round(SLOTS * per_slot),
        answers_per_s=100.0,
        openings_per_s=50.0,
        age_s=age_s,
    )


@given("a host whose zone has 1.0 requests in flight per slot, two others 0.1")
def given_host(context):
    context.world = SteeringHarness(
        upstreams=make_upstreams(ZONE_NAMES), uses_zone_findings=True
    )
    context.loads = [zone_load("a", 1.0), zone_load("b", 0.1), zone_load("c", 0.1)]


@given("a host without zone findings, and loads as in a burst")
def given_host_without(context):
    context.world = SteeringHarness(upstreams=make_upstreams(ZONE_NAMES))
    context.loads = [zone_load("a", 1.0), zone_load("b", 0.1), zone_load("c", 0.1)]


@given("a host without upstreams in its zone, and without loads")
def given_evacuated_unknown(context):
    given_evacuated(context)
    context.loads = []


@given("a host without upstreams in its zone, others with 0.2 and 0.6 per slot")
def given_evacuated(context):
    context.world = SteeringHarness(
        upstreams=make_upstreams(("b", "c")), uses_zone_findings=True
    )
    context.loads = [zone_load("a", 0.5), zone_load("b", 0.2), zone_load("c", 0.6)]


@when("all loads are {age_s:g} seconds old")
def when_aged(context, age_s):
    context.loads = [load._replace(age_s=age_s) for load in context.loads]


@when("the loads of its own zone are missing")
def when_own_missing(context):
    del context.loads[0]


@when("the loads of both other zones are missing")
def when_others_missing(context):
    del context.loads[1:]


@when("each load has an older double of 0 requests")
def when_doubled(context):
    context.loads += [
        load._replace(in_flight=0, age_s=load.age_s + 1.0) for load in context.loads
    ]


def suspect_zones(context, zones):
    world = context.world
    for one in make_upstreams(zones):
        world.steering.outliers.health_of(one.upstream_id).record_retransmission(
            b"flow", world.now_s, world.now_s, is_opening=True
        )


@when("the host suspects the other zones")
def when_suspected(context):
    suspect_zones(context, ("b", "c"))


@when("the host suspects the emptier zone")
def when_emptier_suspected(context):
    suspect_zones(context, ("b",))


def set_loads(context):
    findings = ZoneFindings(loads=tuple(context.loads))
    context.world.steering.findings.set(findings, context.world.now_s)


def place_flows(context, count):
    """Open flows, one in 60 ms, all on the same loads; the upstreams' zones."""
    zones = []
    for number in range(count):
        context.world.now_s += 0.05
        set_loads(context)
        decision = context.world.steer(opening_packet(number))
        confirmation = established_packet(number, decision.tag, payload_bytes=0)
        context.world.steer(confirmation, after_s=0.01)
        zones.append(decision.upstream.zone)
    return zones


@then("the host sends {least:d} to {most:d} of {count:d} flows to other zones")
def then_some_leave(context, least, most, count):
    left = sum(zone != "a" for zone in place_flows(context, count))
    assert least <= left <= most, left


@then("the host sends none of {count:d} flows to other zones")
def then_none_leave(context, count):
    left = sum(zone != "a" for zone in place_flows(context, count))
    assert left == 0, left


class SilentLog(EventLog):
    """Ignores all events."""

    def event(self, name, **pairs):
        pass

    def flow_event(self, name, **pairs):
        pass


@then("the metrics count each of {count:d} flows that overflows by its zone")
def then_counted(context, count):
    world = context.world
    counters = Counters()
    world.steering._observer = Reporter(
        SilentLog(), counters, world.config_view, world.directory, lambda: world.now_s
    )
    zones = place_flows(context, count)
    metrics = counters.render().splitlines()
    for zone in ("b", "c"):
        assert zones.count(zone) > 0, zones
        line = f'flows_overflowed_total{{kind="{zone}"}} {zones.count(zone)}'
        assert f"wisteriatiller_{line}" in metrics, metrics
    assert not any('overflowed_total{kind="a"}' in line for line in metrics), metrics


@then("its zone has a utilization of {utilization:g}")
def then_utilization(context, utilization):
    found = context.world.steering.selector.zone_utilization()
    assert found == utilization, found


@then("of {count:d} flows {least:d} to {most:d} go to the emptier zone")
def then_spread(context, count, least, most):
    found = place_flows(context, count).count("b")
    assert least <= found <= most, found


@then("a copy of each of {count:d} overflowed opening packets stays in the zone")
def then_copies_stay(context, count):
    zones = []
    number = 0
    while len(zones) < count:
        number += 1
        set_loads(context)
        if context.world.steer(opening_packet(number)).upstream.zone != "a":
            copy = opening_packet(number, retransmit_count=1)
            zones.append(context.world.steer(copy, after_s=0.2).upstream.zone)
    assert set(zones) == {"a"}, zones
