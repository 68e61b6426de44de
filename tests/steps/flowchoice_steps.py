"""Steps for the choice of upstreams: hosts, clients and patterns of load."""

import random
from collections import Counter

from behave import given, then, when

from testbed.steeringparts import upstream
from tests.steeringworld import SteeringWorld, established, opening
from wisteriatiller.steering import Forward, PacketKind
from wisteriatiller.steering.upstreams import upstream_tag
from wisteriatiller.steering.upstreamselection import sample_candidates

ZONES = "abc"
COPY_TIMES_S = (0.0, 0.2, 0.4)
ROUND_TRIP_S = 0.01


def make_hosts(context, counts, hosts_per_zone):
    """Hosts that know ``counts`` upstreams of each zone."""
    context.upstreams = [
        upstream(f"{zone_index + 1}{number}", zone=ZONES[zone_index])
        for zone_index, count in enumerate(counts)
        for number in range(count)
    ]
    context.hosts = [
        SteeringWorld(zone=ZONES[zone_index], entries=context.upstreams)
        for zone_index in range(len(counts))
        for _ in range(hosts_per_zone)
    ]
    context.zones = [
        ZONES[zone_index]
        for zone_index in range(len(counts))
        for _ in range(hosts_per_zone)
    ]
    context.dark = set()
    context.placed = Counter()
    context.left_zone = 0
    context.copies = 0
    context.unsent = 0
    context.next_flow = 0


@given("{hosts:d} choosing hosts in {zones:d} zones with {count:d} upstreams each")
def given_hosts(context, hosts, zones, count):
    make_hosts(context, [count] * zones, max(1, hosts // zones))


@given(
    "{hosts:d} choosing hosts in 3 zones, with {most:d} upstreams in the first and "
    "{least:d} in the others"
)
def given_uneven(context, hosts, most, least):
    make_hosts(context, [most, least, least], hosts // 3)


@given(
    "1 choosing hosts in 1 zones with {count:d} upstreams each, one of them {condition}"
)
def given_one(context, count, condition):
    make_hosts(context, [count], 1)
    context.special = context.upstreams[0]
    if condition == "dark":
        context.dark = {context.special.upstream_id}
    else:
        context.special = context.special._replace(cold_for_ms=60_000)
        context.hosts[0].list(context.special, *context.upstreams[1:])


@given("1 choosing hosts in 1 zones with {count:d} upstreams each, all of them dark")
def given_all_dark(context, count):
    make_hosts(context, [count], 1)
    context.dark = {made.upstream_id for made in context.upstreams}


@given(
    "1 choosing hosts in 2 zones with {count:d} upstreams each, whose own zone is dark"
)
def given_zone_dark(context, count):
    make_hosts(context, [count, count], 1)
    del context.hosts[1:], context.zones[1:]
    context.dark = {made.upstream_id for made in context.upstreams if made.zone == "a"}


def number(context):
    context.next_flow += 1
    return context.next_flow


def place(context, index, after_s):
    """Open a flow that is answered at once."""
    world = context.hosts[index]
    flow = number(context)
    decision = world.steer(opening(flow), after_s)
    world.steer(established(flow, decision.tag, payload_bytes=0))
    chosen = decision.upstream
    context.placed[chosen.upstream_id] += 1
    context.left_zone += chosen.zone != context.zones[index]
    return chosen


@when("each host opens {count:d} flows, one every {gap_ms:d} ms")
def when_steady(context, count, gap_ms):
    for _ in range(count):
        for index in range(len(context.hosts)):
            place(context, index, gap_ms / 1000)


@when("each host opens {count:d} flows within {span_ms:d} ms")
def when_wave(context, count, span_ms):
    for _ in range(count):
        for index in range(len(context.hosts)):
            place(context, index, span_ms / 1000 / count)


@when("the upstreams of the other zone are suspects")
def when_remote_suspects(context):
    world = context.hosts[0]
    for made in context.upstreams:
        if made.zone != "a":
            evidence = world.steering.evidence.of(made.upstream_id)
            evidence.complaint(b"flow", world.now_s, world.now_s + 0.2, is_opening=True)


@when("{pause_s:d} quiet seconds pass")
def when_pass(context, pause_s):
    for world in context.hosts:
        world.now_s += pause_s


def connect(context):
    """A client opens a flow, with copies while nobody answers."""
    world = context.hosts[0]
    flow = number(context)
    for copy, wait_s in enumerate(COPY_TIMES_S):
        decision = world.steer(opening(flow, copy=copy), wait_s)
        if not isinstance(decision, Forward):
            context.unsent += 1
            continue
        upstream_id = decision.upstream.upstream_id
        context.placed[upstream_id] += 1
        if upstream_id not in context.dark:
            confirmed = established(flow, decision.tag, payload_bytes=0)
            world.steer(confirmed, ROUND_TRIP_S)
            break
    context.copies += copy > 0


@when("the clients of each host open {count:d} flows, one every {gap_ms:d} ms")
def when_clients(context, count, gap_ms):
    for _ in range(count):
        context.hosts[0].now_s += gap_ms / 1000
        connect(context)


@when("the dark upstream answers again")
def when_answers(context):
    context.dark = set()
    world = context.hosts[0]
    tag = upstream_tag(context.special.upstream_id)
    for acknowledged in (1, 500):
        world.steer(established(9999, tag, acknowledged=acknowledged), 0.1)


def repeat(context, count, answered):
    world = context.hosts[0]
    flows = [number(context) for _ in range(count)]
    tags = {flow: upstream_tag(world.open(flow).upstream_id) for flow in flows}
    lively = number(context)
    lively_tag = upstream_tag(world.open(lively).upstream_id)
    context.silent = world.directory.by_tag(tags[flows[0]]).upstream.upstream_id
    for flow, tag in tags.items():
        world.steer(established(flow, tag, sequence=101, acknowledged=1), 0.05)
    world.now_s += 0.1
    if answered:
        world.steer(established(lively, lively_tag, sequence=101, acknowledged=900))
    for flow, tag in tags.items():
        world.steer(established(flow, tag, sequence=101, acknowledged=1), 0.1)


@when("a packet of an open flow is repeated once")
def when_one_repeat(context):
    repeat(context, 1, answered=False)


@when("packets of {count:d} open flows are repeated once")
def when_repeats(context, count):
    repeat(context, count, answered=False)


@when("packets of {count:d} open flows are repeated while another flow gets answers")
def when_answered(context, count):
    repeat(context, count, answered=True)


@then("the busiest upstream has at most {limit:g} times the mean of open flows")
@then("no upstream gets more than {limit:g} times the mean of new flows")
def then_even(context, limit):
    mean = sum(context.placed.values()) / len(context.upstreams)
    assert max(context.placed.values()) <= limit * mean, context.placed


@then("no flow leaves its zone")
def then_local(context):
    assert context.left_zone == 0, context.left_zone


@then("the next flow of each host stays in its zone")
def then_next_local(context):
    for index, zone in enumerate(context.zones):
        assert place(context, index, 0.0).zone == zone


@then("the cold upstream has between {least:d} and {most:d} flows")
def then_cold(context, least, most):
    flows = context.placed[context.special.upstream_id]
    assert least <= flows <= most, context.placed


@then("at most {limit:d} flows need a copy")
def then_copies(context, limit):
    assert 0 < context.copies <= limit, context.copies


@then("every opening packet was sent to some upstream")
def then_all_sent(context):
    assert context.unsent == 0
    assert len(context.placed) == len(context.upstreams), context.placed


@then("it takes less than its share of the next {count:d} flows, and more than none")
def then_gradual(context, count):
    before = context.placed[context.special.upstream_id]
    for _ in range(count):
        context.hosts[0].now_s += 0.05
        connect(context)
    taken = context.placed[context.special.upstream_id] - before
    assert 0 < taken < count / len(context.upstreams), taken


@then("nobody is suspected")
def then_nobody(context):
    events = context.hosts[0].observer.events
    assert not [event for event in events if event[0] == "suspected"], events


@then("its upstream is suspected")
def then_suspected(context):
    assert ("suspected", context.silent) in context.hosts[0].observer.events


@when("one upstream resets all new flows")
def when_resets(context):
    # It has just been listed and has the fewest open flows.
    context.resetting = context.upstreams[0].upstream_id
    for index, world in enumerate(context.hosts):
        world.list(*context.upstreams[1:])
        for _ in range(20):
            place(context, index, 0.05)
        world.list(*context.upstreams)
        world.now_s += 5.0
    newest_s = max(world.now_s for world in context.hosts)
    for world in context.hosts:
        world.now_s = newest_s


@when(
    "{clients:d} clients open flows, one every {gap_ms:d} ms, each with {tries:d} tries"
)
def when_tries(context, clients, gap_ms, tries):
    rng = random.Random(3)
    context.failed_clients = 0
    for _ in range(clients):
        for world in context.hosts:
            world.now_s += gap_ms / 1000
        served = False
        for _ in range(tries):
            world = rng.choice(context.hosts)
            flow = number(context)
            decision = world.steer(opening(flow))
            for other in context.hosts:
                other.now_s += ROUND_TRIP_S
            if decision.upstream.upstream_id != context.resetting:
                world.steer(established(flow, decision.tag, payload_bytes=0))
                served = True
                break
        context.failed_clients += not served


@then("at most {limit:d} clients fail")
def then_failed(context, limit):
    assert context.failed_clients <= limit, context.failed_clients


@then("no flow is a trial")
def then_no_trial(context):
    events = context.hosts[0].observer.events
    reasons = {event[2] for event in events if event[0] == "opened"}
    assert reasons == {"first"}, reasons


@then("no flow was compared with more than {limit:d} upstreams")
def then_compared(context, limit):
    entries = context.hosts[0].directory.of_service("stock")
    assert len(entries) == len(context.upstreams)
    for flow in range(50):
        chosen = sample_candidates(entries, flow.to_bytes(12, "big"))
        assert len(set(chosen)) == len(chosen) == limit


@then("the other zone takes at least {count:d} flows of the suspecting host")
def then_other_zone(context, count):
    zones = {made.upstream_id: made.zone for made in context.upstreams}
    events = context.hosts[0].observer.events
    left = [
        event for event in events if event[0] == "opened" and zones[event[1]] != "a"
    ]
    assert len(left) >= count, len(left)


@when("one upstream answers no request")
def when_mute(context):
    context.mute = context.upstreams[0].upstream_id
    context.leaving = []


def ask(context, flow, acknowledged=1):
    """Open a flow and send a request; returns the upstream's id."""
    world = context.hosts[0]
    decision = world.steer(opening(flow))
    asked = established(flow, decision.tag, acknowledged=acknowledged)
    world.steer(asked, ROUND_TRIP_S)
    return decision.upstream.upstream_id


def answer(context, flow, upstream_id, after_s):
    tag = upstream_tag(upstream_id)
    packet = established(flow, tag, 101, acknowledged=900, payload_bytes=0)
    context.hosts[0].steer(packet, after_s)


@when(
    "clients make {count:d} requests, one every {gap_ms:d} ms, and leave after "
    "{patience_ms:d} ms"
)
def when_requests(context, count, gap_ms, patience_ms):
    world = context.hosts[0]
    for _ in range(count):
        world.now_s += gap_ms / 1000
        while context.leaving and context.leaving[0][0] <= world.now_s:
            _, flow = context.leaving.pop(0)
            tag = upstream_tag(context.mute)
            world.steer(established(flow, tag, 101, kind=PacketKind.ABORTING))
        flow = number(context)
        upstream_id = ask(context, flow)
        context.placed[upstream_id] += 1
        if upstream_id == context.mute:
            context.leaving.append((world.now_s + patience_ms / 1000, flow))
        else:
            answer(context, flow, upstream_id, 0.04)


@then("the mute upstream gets at most {limit:d} of them")
def then_mute(context, limit):
    assert 0 < context.placed[context.mute] <= limit, context.placed


@when("one request takes {wait_s:d} seconds and others are answered")
def when_slow_one(context, wait_s):
    first = number(context)
    slow = ask(context, first)
    for _ in range(10 * wait_s):
        flow = number(context)
        answer(context, flow, ask(context, flow), 0.04)
        context.hosts[0].now_s += 0.05
    answer(context, first, slow, 0.0)
