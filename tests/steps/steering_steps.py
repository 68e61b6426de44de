"""Steps for the steering of packets."""

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies

from testbed.steeringparts import route_config, upstream
from tests.steeringworld import (
    OTHER_ADDRESS,
    SteeringWorld,
    established,
    listing,
    opening,
)
from wisteriatiller.steering import Forward, PacketKind, Refuse, UpstreamState
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.upstreams import upstream_tag

ZONES = "abc"


def seven_upstreams():
    return [upstream(f"{n + 1:x}", zone=ZONES[n % 3]) for n in range(7)]


@given("steering with {count:d} upstreams in 3 zones")
def given_zones(context, count):
    context.upstreams = seven_upstreams()[:count]
    context.world = SteeringWorld(entries=context.upstreams)


@given("steering with {count:d} upstreams")
def given_upstreams(context, count):
    context.upstreams = [upstream(f"{n + 1:x}") for n in range(count)]
    context.world = SteeringWorld(entries=context.upstreams)


@given("steering with no upstream that takes new flows")
def given_none(context):
    draining = upstream("1", state=UpstreamState.DRAINING)
    context.world = SteeringWorld(entries=[draining])


@given("steering of a route over two services of which the larger has no upstream")
def given_split(context):
    config = route_config(1, ("stock", 90.0), ("sheet", 10.0))
    context.world = SteeringWorld(
        config=config, entries=[upstream("1", service="sheet")]
    )


@given("steering with 3 upstreams of which one is {fault}")
def given_fault(context, fault):
    good = [upstream("2"), upstream("3")]
    bad = upstream("1")
    world = SteeringWorld(entries=[bad, *good])
    if fault == "draining":
        world.list(bad._replace(state=UpstreamState.DRAINING), *good)
    elif fault == "gone":
        world.list(*good)
    elif fault == "unreadable":
        world.list(*good, unreadable=[bad.upstream_id])
    elif fault == "of other service":
        world.list(bad._replace(service="sheet"), *good)
    else:
        # These two ids have the same tag, and the smaller one keeps it.
        bad = upstream("a10a6")
        world.list(upstream("3bd50"), bad, *good)
    context.world = world
    context.faulty = bad.upstream_id


@given("{count:d} open flows")
def given_flows(context, count):
    context.homes = [context.world.open(number) for number in range(count)]


@when("{count:d} flows are opened and each next packet comes to another host")
def when_other_host(context, count):
    other = SteeringWorld(zone="b", entries=context.upstreams)
    context.pairs = []
    for number in range(count):
        first = context.world.steer(opening(number))
        context.pairs.append((first, other.steer(established(number, first.tag))))


@then("each next packet goes to the upstream that its flow was opened at")
def then_same(context):
    for first, second in context.pairs:
        assert second == first, (first, second)


def replace_first_home(context, **changes):
    home = context.homes[0]
    rest = [other for other in context.upstreams if other != home]
    changed = [home._replace(**changes)] if changes else []
    context.world.list(*changed, *rest)


@when("the upstream of the first flow starts to drain")
def when_drain(context):
    replace_first_home(context, state=UpstreamState.DRAINING)


@when("the upstream of the first flow leaves")
def when_leave(context):
    replace_first_home(context)


@when("a configuration sends new flows to another service")
def when_other_service(context):
    context.world.list(*context.upstreams, upstream("99", service="sheet"))
    context.world.configure(route_config(2, ("sheet", 1.0)))


def next_of_first(context):
    tag = upstream_tag(context.homes[0].upstream_id)
    return context.world.steer(established(0, tag, sequence=200, acknowledged=300))


@then("the first flow goes on at its upstream")
def then_goes_on(context):
    decision = next_of_first(context)
    assert isinstance(decision, Forward), decision
    assert decision.upstream.upstream_id == context.homes[0].upstream_id


@when("the second flow is answered")
def when_second_answered(context):
    tag = upstream_tag(context.homes[1].upstream_id)
    packet = established(1, tag, sequence=200, acknowledged=300)
    context.world.steer(packet, after_s=0.1)


def repeat_of_first(context, after_s):
    context.world.now_s += after_s
    return next_of_first(context)


@then("the same packet goes on when it is repeated")
def then_repeat_goes_on(context):
    decision = repeat_of_first(context, 0.2)
    assert isinstance(decision, Forward), decision


@then("it is refused when it is repeated twice more")
def then_twice_more(context):
    decision = repeat_of_first(context, 0.4)
    assert isinstance(decision, Forward), decision
    decision = repeat_of_first(context, 0.8)
    assert isinstance(decision, Refuse), decision


@then("the same packet is refused when it is repeated")
def then_repeat_refused(context):
    decision = repeat_of_first(context, 0.2)
    assert isinstance(decision, Refuse), decision


@then("the next packet of the first flow is refused because of {reason}")
def then_next_refused(context, reason):
    decision = next_of_first(context)
    assert isinstance(decision, Refuse), decision
    assert decision.reason.value == reason


def openings(context, count):
    decisions = [context.world.steer(opening(1000 + n), 0.05) for n in range(count)]
    assert all(isinstance(decision, Forward) for decision in decisions), decisions
    return [decision.upstream for decision in decisions]


@then("none of {count:d} new flows goes to that upstream")
def then_none_to_first(context, count):
    home = context.homes[0].upstream_id
    assert all(chosen.upstream_id != home for chosen in openings(context, count))


@then("none of {count:d} new flows goes to the faulty upstream")
def then_none_to_faulty(context, count):
    chosen = {chosen.upstream_id for chosen in openings(context, count)}
    assert context.faulty not in chosen, chosen


@then("a new flow goes to the other service")
def then_other_service(context):
    assert openings(context, 1)[0].service == "sheet"


@then("all of {count:d} new flows go to the smaller service")
def then_smaller(context, count):
    assert {chosen.service for chosen in openings(context, count)} == {"sheet"}


@when("a client opens a flow to an address without a route")
def when_no_route(context):
    context.decision = context.world.steer(opening(1, address=OTHER_ADDRESS))


@when("a client opens a flow")
def when_opens(context):
    context.decision = context.world.steer(opening(1))


@when("the configuration was last confirmed {age_s:g} seconds ago")
def when_stale(context, age_s):
    context.world.now_s += age_s


@when("a packet with an unknown tag comes")
def when_unknown(context):
    context.decision = context.world.steer(established(1, 0x1234))


@when("a client sends an opening answer")
def when_forged(context):
    packet = opening(1)._replace(kind=PacketKind.UPSTREAM_ONLY)
    context.decision = context.world.steer(packet)


@then("the flow is refused because of {reason}")
def then_refused(context, reason):
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.reason.value == reason, context.decision


@then("the packet is discarded because of {reason}")
def then_discarded(context, reason):
    assert not isinstance(context.decision, Forward | Refuse), context.decision
    assert context.decision.reason.value == reason, context.decision


@then("a newer listing is asked for")
def then_listing(context):
    assert ("tag_unknown",) in context.world.observer.events


@when("a flow is opened with copies after {first_ms:d} and {second_ms:d} ms")
def when_copies(context, first_ms, second_ms):
    delays_s = (0.0, first_ms / 1000, (second_ms - first_ms) / 1000)
    context.chosen = [
        context.world.steer(opening(1, copy=copy), after_s=delay_s).upstream
        for copy, delay_s in enumerate(delays_s)
    ]


@then("the three opening packets go to {number} upstream")
@then("the three opening packets go to {number} upstreams")
def then_three(context, number):
    distinct = len({chosen.upstream_id for chosen in context.chosen})
    assert distinct == {"one": 1, "three": 3}[number], context.chosen


@when("a copy of the first flow's opening comes late")
def when_late_copy(context):
    context.decision = context.world.steer(opening(0, copy=1), after_s=0.3)


@then("the copy goes to the first flow's upstream")
def then_copy(context):
    assert context.decision.upstream == context.homes[0], context.decision


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


@then("in any order of 12 versions the newest one so far is in force")
def then_newest(context):
    check_versions()


# The first two ids have the same tag.
IDS = ("3bd50", "a10a6", "1", "2")


@settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis_given(
    strategies.lists(
        strategies.lists(strategies.sampled_from(IDS), unique=True), max_size=8
    )
)
def check_tags(listings):
    directory = UpstreamDirectory()
    for revision, names in enumerate(listings, 1):
        made = listing(revision, *map(upstream, names))
        directory.apply(made, 1000.0, store_healthy_s=60.0)
        owners = [
            entry
            for entry in directory.entries()
            if directory.by_tag(entry.tag) is entry
        ]
        assert len({entry.tag for entry in owners}) == len(owners)
        listed = {upstream_tag(f"i-{name}") for name in names}
        for entry in directory.eligible_entries("stock"):
            assert directory.by_tag(entry.tag) is entry
            assert entry.tag in listed


@then("in any listing each tag names one upstream, and only owners get new flows")
def then_owners(context):
    check_tags()
