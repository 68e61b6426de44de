"""Steps for upstream selection: hosts, clients and load patterns."""

import random
from collections import Counter

from behave import given, then, when

from testbed.steeringparts import upstream
from tests.steeringharness import SteeringHarness, established_packet, opening_packet
from wisteriatiller.steering import Forward, PacketKind
from wisteriatiller.steering.selection import sample_candidates
from wisteriatiller.steering.upstreams import upstream_tag

ZONES = "abc"
RETRANSMIT_WAITS_S = (0.0, 0.2, 0.4)
ROUND_TRIP_S = 0.01


def make_hosts(context, counts, hosts_per_zone):
    """Set up a zone for each number of upstreams in ``counts``, with its hosts."""
    context.upstreams = [
        upstream(f"{zone_index + 1}{number}", zone=ZONES[zone_index])
        for zone_index, count in enumerate(counts)
        for number in range(count)
    ]
    context.hosts = [
        SteeringHarness(zone=ZONES[zone_index], upstreams=context.upstreams)
        for zone_index in range(len(counts))
        for _ in range(hosts_per_zone)
    ]
    context.zones = [
        ZONES[zone_index]
        for zone_index in range(len(counts))
        for _ in range(hosts_per_zone)
    ]
    context.unresponsive = set()
    context.placed = Counter()
    context.cross_zone_flows = 0
    context.retransmitted_flows = 0
    context.undelivered_openings = 0
    context.next_flow = 0


@given("{hosts:d} steering hosts in {zones:d} zones with {count:d} upstreams each")
def given_hosts(context, hosts, zones, count):
    make_hosts(context, [count] * zones, max(1, hosts // zones))


@given(
    "{hosts:d} steering hosts in 3 zones, with {most:d} upstreams in the first and "
    "{least:d} in the others"
)
def given_uneven_zones(context, hosts, most, least):
    make_hosts(context, [most, least, least], hosts // 3)


@given(
    "1 steering hosts in 1 zones with {count:d} upstreams each, one of them {condition}"
)
def given_special_upstream(context, count, condition):
    make_hosts(context, [count], 1)
    context.special_upstream = context.upstreams[0]
    if condition == "unresponsive":
        context.unresponsive = {context.special_upstream.upstream_id}
    else:
        context.special_upstream = context.special_upstream._replace(cold_for_ms=60_000)
        context.hosts[0].apply_listing(context.special_upstream, *context.upstreams[1:])


@given(
    "1 steering hosts in 1 zones with {count:d} upstreams each, all of them "
    "unresponsive"
)
def given_all_unresponsive(context, count):
    make_hosts(context, [count], 1)
    context.unresponsive = {listed.upstream_id for listed in context.upstreams}


@given(
    "1 steering hosts in 2 zones with {count:d} upstreams each, whose own zone is "
    "silent"
)
def given_zone_unresponsive(context, count):
    make_hosts(context, [count, count], 1)
    del context.hosts[1:], context.zones[1:]
    context.unresponsive = {
        listed.upstream_id for listed in context.upstreams if listed.zone == "a"
    }


def next_flow_number(context):
    context.next_flow += 1
    return context.next_flow


def open_answered_flow(context, index, after_s):
    """Open a flow that is answered at once; return its upstream."""
    world = context.hosts[index]
    flow = next_flow_number(context)
    decision = world.steer(opening_packet(flow), after_s)
    world.steer(established_packet(flow, decision.tag, payload_bytes=0))
    chosen = decision.upstream
    context.placed[chosen.upstream_id] += 1
    context.cross_zone_flows += chosen.zone != context.zones[index]
    return chosen


@when("each host opens {count:d} flows, one every {gap_ms:d} ms")
def when_steady_load(context, count, gap_ms):
    for _ in range(count):
        for index in range(len(context.hosts)):
            open_answered_flow(context, index, gap_ms / 1000)


@when("each host opens {count:d} flows within {span_ms:d} ms")
def when_burst(context, count, span_ms):
    for _ in range(count):
        for index in range(len(context.hosts)):
            open_answered_flow(context, index, span_ms / 1000 / count)


@when("the upstreams of the other zone are suspects")
def when_remote_suspected(context):
    world = context.hosts[0]
    for listed in context.upstreams:
        if listed.zone != "a":
            health = world.steering.outliers.health_of(listed.upstream_id)
            health.record_retransmission(
                b"flow", world.now_s, world.now_s + 0.2, is_opening=True
            )


@when("{pause_s:d} seconds pass without new flows")
def when_seconds_pass(context, pause_s):
    for world in context.hosts:
        world.now_s += pause_s


def open_with_retransmissions(context):
    """Open a flow as a client, which retransmits until it gets an answer."""
    world = context.hosts[0]
    flow = next_flow_number(context)
    for retransmit_count, wait_s in enumerate(RETRANSMIT_WAITS_S):
        decision = world.steer(
            opening_packet(flow, retransmit_count=retransmit_count), wait_s
        )
        if not isinstance(decision, Forward):
            context.undelivered_openings += 1
            continue
        upstream_id = decision.upstream.upstream_id
        context.placed[upstream_id] += 1
        if upstream_id not in context.unresponsive:
            confirmed = established_packet(flow, decision.tag, payload_bytes=0)
            world.steer(confirmed, ROUND_TRIP_S)
            break
    context.retransmitted_flows += retransmit_count > 0


@when("the clients of each host open {count:d} flows, one every {gap_ms:d} ms")
def when_clients_open(context, count, gap_ms):
    for _ in range(count):
        context.hosts[0].now_s += gap_ms / 1000
        open_with_retransmissions(context)


@when("the unresponsive upstream answers again")
def when_upstream_answers(context):
    context.unresponsive = set()
    world = context.hosts[0]
    tag = upstream_tag(context.special_upstream.upstream_id)
    for acknowledged in (1, 500):
        world.steer(established_packet(9999, tag, acknowledged=acknowledged), 0.1)


def retransmit_in_open_flows(context, count, is_other_flow_answered):
    world = context.hosts[0]
    flows = [next_flow_number(context) for _ in range(count)]
    tags = {flow: upstream_tag(world.open_flow(flow).upstream_id) for flow in flows}
    answered_flow = next_flow_number(context)
    answered_tag = upstream_tag(world.open_flow(answered_flow).upstream_id)
    context.target_id = world.directory.by_tag(tags[flows[0]]).upstream.upstream_id
    for flow, tag in tags.items():
        world.steer(established_packet(flow, tag, sequence=101, acknowledged=1), 0.05)
    world.now_s += 0.1
    if is_other_flow_answered:
        world.steer(
            established_packet(
                answered_flow, answered_tag, sequence=101, acknowledged=900
            )
        )
    for flow, tag in tags.items():
        world.steer(established_packet(flow, tag, sequence=101, acknowledged=1), 0.1)


@when("a packet of an open flow is repeated once")
def when_one_retransmission(context):
    retransmit_in_open_flows(context, 1, is_other_flow_answered=False)


@when("packets of {count:d} open flows are repeated once")
def when_retransmissions(context, count):
    retransmit_in_open_flows(context, count, is_other_flow_answered=False)


@when("packets of {count:d} open flows are repeated while another flow gets answers")
def when_other_flow_answered(context, count):
    retransmit_in_open_flows(context, count, is_other_flow_answered=True)


@then("the busiest upstream has at most {limit:g} times the mean of open flows")
@then("no upstream gets more than {limit:g} times the mean of new flows")
def then_balanced(context, limit):
    mean = sum(context.placed.values()) / len(context.upstreams)
    assert max(context.placed.values()) <= limit * mean, context.placed


@then("no flow leaves its zone")
def then_no_cross_zone(context):
    assert context.cross_zone_flows == 0, context.cross_zone_flows


@then("the next flow of each host stays in its zone")
def then_next_in_zone(context):
    for index, zone in enumerate(context.zones):
        assert open_answered_flow(context, index, 0.0).zone == zone


@then("the cold upstream has between {least:d} and {most:d} flows")
def then_cold_flows(context, least, most):
    flows = context.placed[context.special_upstream.upstream_id]
    assert least <= flows <= most, context.placed


@then("at most {limit:d} flows need a retransmission")
def then_retransmitted(context, limit):
    assert 0 < context.retransmitted_flows <= limit, context.retransmitted_flows


@then("every opening packet was sent to some upstream")
def then_all_sent(context):
    assert context.undelivered_openings == 0
    assert len(context.placed) == len(context.upstreams), context.placed


@then("it takes less than its share of the next {count:d} flows, and more than none")
def then_slow_start(context, count):
    before = context.placed[context.special_upstream.upstream_id]
    for _ in range(count):
        context.hosts[0].now_s += 0.05
        open_with_retransmissions(context)
    taken = context.placed[context.special_upstream.upstream_id] - before
    assert 0 < taken < count / len(context.upstreams), taken


@then("no upstream is suspected")
def then_none_suspected(context):
    events = context.hosts[0].observer.events
    assert not [event for event in events if event[0] == "suspected"], events


@then("its upstream is suspected")
def then_suspected(context):
    assert ("suspected", context.target_id) in context.hosts[0].observer.events


@when("one upstream resets all new flows")
def when_resets(context):
    # The upstream is listed last, so that it has the fewest open flows.
    context.resetting = context.upstreams[0].upstream_id
    for index, world in enumerate(context.hosts):
        world.apply_listing(*context.upstreams[1:])
        for _ in range(20):
            open_answered_flow(context, index, 0.05)
        world.apply_listing(*context.upstreams)
        world.now_s += 5.0
    newest_s = max(world.now_s for world in context.hosts)
    for world in context.hosts:
        world.now_s = newest_s


@when(
    "{clients:d} clients open flows, one every {gap_ms:d} ms, each with {tries:d} tries"
)
def when_clients_retry(context, clients, gap_ms, tries):
    rng = random.Random(3)
    context.failed_clients = 0
    for _ in range(clients):
        for world in context.hosts:
            world.now_s += gap_ms / 1000
        is_served = False
        for _ in range(tries):
            world = rng.choice(context.hosts)
            flow = next_flow_number(context)
            decision = world.steer(opening_packet(flow))
            for other in context.hosts:
                other.now_s += ROUND_TRIP_S
            if decision.upstream.upstream_id != context.resetting:
                world.steer(established_packet(flow, decision.tag, payload_bytes=0))
                is_served = True
                break
        context.failed_clients += not is_served


@then("at most {limit:d} clients fail")
def then_failed_clients(context, limit):
    assert context.failed_clients <= limit, context.failed_clients


@then("no flow is a trial")
def then_no_trial(context):
    events = context.hosts[0].observer.events
    reasons = {event[2] for event in events if event[0] == "opened"}
    assert reasons == {"first"}, reasons


@then("no flow was compared with more than {limit:d} upstreams")
def then_candidates(context, limit):
    entries = context.hosts[0].directory.eligible_entries("stock")
    assert len(entries) == len(context.upstreams)
    for flow in range(50):
        chosen = sample_candidates(entries, flow.to_bytes(12, "big"))
        assert len(set(chosen)) == len(chosen) == limit


@then("the other zone takes at least {count:d} new flows")
def then_other_zone(context, count):
    zones = {listed.upstream_id: listed.zone for listed in context.upstreams}
    events = context.hosts[0].observer.events
    cross_zone = [
        event for event in events if event[0] == "opened" and zones[event[1]] != "a"
    ]
    assert len(cross_zone) >= count, len(cross_zone)


@when("one upstream answers no request")
def when_hung(context):
    context.hung = context.upstreams[0].upstream_id
    context.abandoned = []


def open_and_request(context, flow, acknowledged=1):
    """Open a flow and send a request; return the upstream's id."""
    world = context.hosts[0]
    decision = world.steer(opening_packet(flow))
    asked = established_packet(flow, decision.tag, acknowledged=acknowledged)
    world.steer(asked, ROUND_TRIP_S)
    return decision.upstream.upstream_id


def answer_request(context, flow, upstream_id, after_s):
    tag = upstream_tag(upstream_id)
    packet = established_packet(flow, tag, 101, acknowledged=900, payload_bytes=0)
    context.hosts[0].steer(packet, after_s)


@when(
    "clients make {count:d} requests, one every {gap_ms:d} ms, and leave after "
    "{patience_ms:d} ms"
)
def when_requests(context, count, gap_ms, patience_ms):
    world = context.hosts[0]
    for _ in range(count):
        world.now_s += gap_ms / 1000
        while context.abandoned and context.abandoned[0][0] <= world.now_s:
            _, flow = context.abandoned.pop(0)
            tag = upstream_tag(context.hung)
            world.steer(established_packet(flow, tag, 101, kind=PacketKind.ABORTING))
        flow = next_flow_number(context)
        upstream_id = open_and_request(context, flow)
        context.placed[upstream_id] += 1
        if upstream_id == context.hung:
            context.abandoned.append((world.now_s + patience_ms / 1000, flow))
        else:
            answer_request(context, flow, upstream_id, 0.04)


@then("the hung upstream gets at most {limit:d} of them")
def then_hung_requests(context, limit):
    assert 0 < context.placed[context.hung] <= limit, context.placed


@when("one request takes {wait_s:d} seconds and others are answered")
def when_slow_request(context, wait_s):
    first = next_flow_number(context)
    slow = open_and_request(context, first)
    for _ in range(10 * wait_s):
        flow = next_flow_number(context)
        answer_request(context, flow, open_and_request(context, flow), 0.04)
        context.hosts[0].now_s += 0.05
    answer_request(context, first, slow, 0.0)
