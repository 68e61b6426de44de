"""Steps for packet steering."""

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies

from testbed.steeringparts import route_config, upstream
from tests.steeringharness import (
    OTHER_ADDRESS,
    SteeringHarness,
    established_packet,
    make_listing,
    opening_packet,
)
from wisteriatiller.steering import Forward, PacketKind, Refuse, UpstreamState
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.upstreams import upstream_tag

ZONES = "abc"


def seven_upstreams():
    return [upstream(f"{n + 1:x}", zone=ZONES[n % 3]) for n in range(7)]


@given("steering with {count:d} upstreams in 3 zones")
def given_upstreams_in_zones(context, count):
    context.upstreams = seven_upstreams()[:count]
    context.world = SteeringHarness(upstreams=context.upstreams)


@given("steering with {count:d} upstreams")
def given_upstreams(context, count):
    context.upstreams = [upstream(f"{n + 1:x}") for n in range(count)]
    context.world = SteeringHarness(upstreams=context.upstreams)


@given("steering with no upstream that takes new flows")
def given_no_eligible(context):
    draining = upstream("1", state=UpstreamState.DRAINING)
    context.world = SteeringHarness(upstreams=[draining])


@given("steering of a route over two services of which the larger has no upstream")
def given_split_route(context):
    config = route_config(1, ("stock", 90.0), ("sheet", 10.0))
    context.world = SteeringHarness(
        config=config, upstreams=[upstream("1", service="sheet")]
    )


@given("steering with 3 upstreams of which one is {fault}")
def given_ineligible(context, fault):
    eligible = [upstream("2"), upstream("3")]
    ineligible = upstream("1")
    world = SteeringHarness(upstreams=[ineligible, *eligible])
    if fault == "draining":
        world.apply_listing(
            ineligible._replace(state=UpstreamState.DRAINING), *eligible
        )
    elif fault == "gone":
        world.apply_listing(*eligible)
    elif fault == "unreadable":
        world.apply_listing(*eligible, unreadable=[ineligible.upstream_id])
    elif fault == "of other service":
        world.apply_listing(ineligible._replace(service="sheet"), *eligible)
    else:
        # The tags of these two ids collide, and the smaller id owns the tag.
        ineligible = upstream("a10a6")
        world.apply_listing(upstream("3bd50"), ineligible, *eligible)
    context.world = world
    context.ineligible_id = ineligible.upstream_id


@given("{count:d} open flows")
def given_open_flows(context, count):
    context.flow_upstreams = [
        context.world.open_flow(number) for number in range(count)
    ]


@when("{count:d} flows are opened and each next packet reaches another host")
def when_other_host(context, count):
    other = SteeringHarness(zone="b", upstreams=context.upstreams)
    context.pairs = []
    for number in range(count):
        first = context.world.steer(opening_packet(number))
        context.pairs.append(
            (first, other.steer(established_packet(number, first.tag)))
        )


@then("each next packet goes to the upstream that opened its flow")
def then_same_upstream(context):
    for first, second in context.pairs:
        assert second == first, (first, second)


def replace_first_upstream(context, store_healthy_s=60.0, **changes):
    first_upstream = context.flow_upstreams[0]
    rest = [other for other in context.upstreams if other != first_upstream]
    changed = [first_upstream._replace(**changes)] if changes else []
    context.world.apply_listing(*changed, *rest, store_healthy_s=store_healthy_s)


@when("the upstream of the first flow starts draining")
def when_draining(context):
    replace_first_upstream(context, state=UpstreamState.DRAINING)


@when("the store is restored to a copy without that upstream")
def when_restored_without(context):
    context.world.restore_store()
    replace_first_upstream(context, store_healthy_s=0.0)


@when("that upstream leaves, and the store is restored")
def when_leaves_and_restored(context):
    replace_first_upstream(context)
    when_restored_without(context)


@when("the store is lost, and that upstream is not listed")
def when_lost_and_not_listed(context):
    context.world.directory.mark_store_lost()
    replace_first_upstream(context, store_healthy_s=0.0)


@when("{duration_s:d} seconds pass and the listing is confirmed")
def when_listing_confirmed(context, duration_s):
    context.world.now_s += duration_s
    context.world.directory.confirm(context.world.now_s, float(duration_s), 0.0)


@when("the upstream of the first flow leaves the listing")
def when_leaves(context):
    replace_first_upstream(context)


@when("a new configuration routes new flows to another service")
def when_other_service(context):
    context.world.apply_listing(*context.upstreams, upstream("99", service="sheet"))
    context.world.apply_config(route_config(2, ("sheet", 1.0)))


def steer_next_of_first(context):
    tag = upstream_tag(context.flow_upstreams[0].upstream_id)
    return context.world.steer(
        established_packet(0, tag, sequence=200, acknowledged=300)
    )


@then("the first flow continues at its upstream")
def then_continues(context):
    decision = steer_next_of_first(context)
    assert isinstance(decision, Forward), decision
    assert decision.upstream.upstream_id == context.flow_upstreams[0].upstream_id


@when("the second flow is answered")
def when_second_answered(context):
    tag = upstream_tag(context.flow_upstreams[1].upstream_id)
    packet = established_packet(1, tag, sequence=200, acknowledged=300)
    context.world.steer(packet, after_s=0.1)


def steer_first(context, after_s, acknowledged, payload_bytes):
    """Steer a packet of the first flow that follows its 100 bytes so far."""
    tag = upstream_tag(context.flow_upstreams[0].upstream_id)
    packet = established_packet(
        0, tag, sequence=101, acknowledged=acknowledged, payload_bytes=payload_bytes
    )
    context.decision = context.world.steer(packet, after_s=after_s)


@when("the first flow's answer is acknowledged without data")
def when_acknowledged(context):
    steer_first(context, 0.1, acknowledged=500, payload_bytes=0)


@when("{after_s:d} seconds later the first flow sends its next request")
def when_next_request(context, after_s):
    steer_first(context, after_s, acknowledged=500, payload_bytes=100)


@then("the request is forwarded")
def then_forwarded(context):
    assert isinstance(context.decision, Forward), context.decision


@then("no retransmission has counted against the upstream")
def then_no_retransmission(context):
    upstream_id = context.flow_upstreams[0].upstream_id
    health = context.world.steering.outliers.health_of(upstream_id)
    assert health.retransmitting_flows() == 0


@then("the time of its answer is recorded")
def then_answer_recorded(context):
    context.world.observer.events.clear()
    tag = upstream_tag(context.flow_upstreams[0].upstream_id)
    answered = established_packet(
        0, tag, sequence=201, acknowledged=900, payload_bytes=0
    )
    context.world.steer(answered, after_s=0.05)
    kinds = [event[0] for event in context.world.observer.events]
    assert "request_answered" in kinds, kinds


def retransmit_first(context, after_s):
    context.world.now_s += after_s
    return steer_next_of_first(context)


@then("the same packet is forwarded when it is retransmitted")
def then_retransmission_forwarded(context):
    decision = retransmit_first(context, 0.2)
    assert isinstance(decision, Forward), decision


@then("it is refused when it is retransmitted twice more")
def then_refused_after_two_more(context):
    decision = retransmit_first(context, 0.4)
    assert isinstance(decision, Forward), decision
    decision = retransmit_first(context, 0.8)
    assert isinstance(decision, Refuse), decision


@when("the second flow retransmits a packet")
def when_second_retransmits(context):
    tag = upstream_tag(context.flow_upstreams[1].upstream_id)
    packet = established_packet(1, tag, sequence=101, acknowledged=1)
    context.world.steer(packet, after_s=0.1)
    context.world.steer(packet, after_s=0.2)


@when("{after_s:d} seconds later the first flow sends a request")
def when_request(context, after_s):
    steer_first(context, after_s, acknowledged=1, payload_bytes=100)


@when("it is retransmitted {after_ms:d} ms later")
def when_request_retransmitted(context, after_ms):
    steer_first(context, after_ms / 1000, acknowledged=1, payload_bytes=100)


@then("the request is refused for {count:d} repeats")
def then_refused_for_repeats(context, count):
    assert isinstance(context.decision, Refuse), context.decision
    evidence = context.decision.evidence
    assert evidence.upstream_id == context.flow_upstreams[0].upstream_id, evidence
    assert evidence.repeats == count, evidence


@then("the next packet of the first flow is refused because of {reason}")
def then_next_refused(context, reason):
    decision = steer_next_of_first(context)
    assert isinstance(decision, Refuse), decision
    assert decision.reason.value == reason


def open_flows(context, count):
    decisions = [
        context.world.steer(opening_packet(1000 + n), 0.05) for n in range(count)
    ]
    assert all(isinstance(decision, Forward) for decision in decisions), decisions
    return [decision.upstream for decision in decisions]


@then("none of {count:d} new flows goes to that upstream")
def then_none_to_first(context, count):
    first_upstream = context.flow_upstreams[0].upstream_id
    assert all(
        chosen.upstream_id != first_upstream for chosen in open_flows(context, count)
    )


@then("none of {count:d} new flows goes to the ineligible upstream")
def then_none_to_ineligible(context, count):
    chosen = {chosen.upstream_id for chosen in open_flows(context, count)}
    assert context.ineligible_id not in chosen, chosen


@then("a new flow goes to the other service")
def then_other_service(context):
    assert open_flows(context, 1)[0].service == "sheet"


@then("all of {count:d} new flows go to the smaller service")
def then_smaller_service(context, count):
    assert {chosen.service for chosen in open_flows(context, count)} == {"sheet"}


@when("a client opens a flow to an address without a route")
def when_no_route(context):
    context.decision = context.world.steer(opening_packet(1, address=OTHER_ADDRESS))


@when("a client opens a flow")
def when_opens(context):
    context.decision = context.world.steer(opening_packet(1))


@when("the configuration was last confirmed {age_s:g} seconds ago")
def when_config_age(context, age_s):
    context.world.now_s += age_s


@when("a packet with an unknown tag arrives")
def when_unknown_tag(context):
    context.decision = context.world.steer(established_packet(1, 0x1234))


@when("a client sends an answer to an opening packet")
def when_forged(context):
    packet = opening_packet(1)._replace(kind=PacketKind.UPSTREAM_ONLY)
    context.decision = context.world.steer(packet)


@then("the flow is refused because of {reason}")
def then_refused(context, reason):
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.reason.value == reason, context.decision


@then("the packet is dropped because of {reason}")
def then_discarded(context, reason):
    assert not isinstance(context.decision, Forward | Refuse), context.decision
    assert context.decision.reason.value == reason, context.decision


@then("a newer listing is requested")
def then_listing_requested(context):
    assert ("tag_unknown",) in context.world.observer.events


@when("a flow is opened with retransmissions after {first_ms:d} and {second_ms:d} ms")
def when_retransmitted(context, first_ms, second_ms):
    delays_s = (0.0, first_ms / 1000, (second_ms - first_ms) / 1000)
    context.chosen = [
        context.world.steer(
            opening_packet(1, retransmit_count=retransmit_count), after_s=delay_s
        ).upstream
        for retransmit_count, delay_s in enumerate(delays_s)
    ]


@then("the three opening packets go to {number} upstream")
@then("the three opening packets go to {number} upstreams")
def then_upstream_count(context, number):
    distinct = len({chosen.upstream_id for chosen in context.chosen})
    assert distinct == {"one": 1, "three": 3}[number], context.chosen


@when("the first flow's opening packet is retransmitted late")
def when_late_retransmission(context):
    context.decision = context.world.steer(
        opening_packet(0, retransmit_count=1), after_s=0.3
    )


@then("the retransmission goes to the first flow's upstream")
def then_retransmission_upstream(context):
    assert context.decision.upstream == context.flow_upstreams[0], context.decision


@settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis_given(strategies.lists(strategies.integers(1, 12), max_size=24))
def check_versions(versions):
    view = ConfigView()
    newest = 0
    for version in versions:
        is_taken = view.apply(route_config(version, ("stock", 1.0)))
        assert is_taken == (version > newest)
        newest = max(newest, version)
        assert view.version == newest
        if view.config is not None:
            assert view.config.version == newest


@then("in any order of 12 versions the newest one so far is applied")
def then_newest_applied(context):
    check_versions()


# The tags of the first two ids collide.
IDS = ("3bd50", "a10a6", "1", "2")


@settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis_given(
    strategies.lists(
        strategies.lists(strategies.sampled_from(IDS), unique=True), max_size=8
    )
)
def check_tags(listings):
    directory = UpstreamDirectory()
    former = []
    for revision, names in enumerate(listings, 1):
        made = make_listing(revision, *map(upstream, names))
        directory.apply(made, 1000.0, store_healthy_s=60.0)
        owners = [
            entry
            for entry in directory.entries()
            if directory.by_tag(entry.tag) is entry
        ]
        assert len({entry.tag for entry in owners}) == len(owners)
        # A listing that has lost all of several upstreams at once is doubted once.
        is_doubted = not names and len(former) > 1
        listed = {upstream_tag(f"i-{name}") for name in former if is_doubted}
        listed |= {upstream_tag(f"i-{name}") for name in names}
        former = names
        for entry in directory.eligible_entries("stock"):
            assert directory.by_tag(entry.tag) is entry
            assert entry.tag in listed


@then("in any listing each tag identifies one upstream, and only owners get new flows")
def then_one_owner(context):
    check_tags()
