"""Steps for ports that are used again."""

from behave import given, then, when

from testbed.steeringparts import route_config, upstream
from tests.steeringharness import (
    SteeringHarness,
    established_packet,
    flow_key,
    opening_packet,
)
from wisteriatiller.steering import Forward, PacketKind, UpstreamState
from wisteriatiller.steering.flowtable import FlowState
from wisteriatiller.steering.routes import WarmupSettings
from wisteriatiller.steering.upstreams import upstream_tag

NUMBER = 7
FIRST_SEQUENCE = opening_packet(NUMBER).sequence
LATER_SEQUENCE = 3_000_000_000
FIRST = "i-1"
LIMITED = WarmupSettings("stock", 10.0, 1.0)


def config(version, service):
    return route_config(version, (service, 1.0))._replace(warmups=(LIMITED,))


def is_upstream_of(name, service):
    return name in {"stock": "123", "sheet": "456"}[service]


@given("steering with upstreams 1 to 3 of stock and 4 to 6 of sheet")
def given_steering(context):
    context.upstreams = {
        name: upstream(name, service="stock" if name in "123" else "sheet", zone="b")
        for name in "123456"
    }
    # Upstream 1 has a zone of its own, which can be evacuated.
    context.upstreams["1"] = context.upstreams["1"]._replace(zone="a")
    context.world = SteeringHarness(
        config=config(1, "stock"),
        upstreams=context.upstreams.values(),
        uses_zone_findings=True,
    )
    context.first_tag = upstream_tag(FIRST)


def list_upstreams(context):
    context.world.apply_listing(*context.upstreams.values())


def established(sequence, **changes):
    fields = {"sequence": sequence, "acknowledged": 1, "payload_bytes": 0, **changes}
    tag = upstream_tag(FIRST)
    return established_packet(NUMBER, tag, **fields)


def open_at_first(context):
    """Open the flow at upstream 1, which is of the host's own zone."""
    decision = context.world.steer(opening_packet(NUMBER))
    assert decision.upstream.upstream_id == FIRST, decision
    context.number = NUMBER


@given("a flow that is {state} at upstream 1")
def given_flow(context, state):
    after_opening = established(FIRST_SEQUENCE + 1)
    if state == "open through another host":
        context.world.steer(after_opening)
        return
    if state == "open there after a former one here":
        context.world.steer(opening_packet(NUMBER)._replace(sequence=LATER_SEQUENCE))
        context.world.steer(established(LATER_SEQUENCE + 1))
        context.world.steer(after_opening, after_s=3.0)
        return
    open_at_first(context)
    if state != "opening":
        context.world.steer(after_opening, after_s=0.01)
    if state == "closing":
        ending = established(FIRST_SEQUENCE + 1, kind=PacketKind.CLOSING)
        context.world.steer(ending, after_s=0.01)
    flow = context.world.steering.flows.peek(flow_key(NUMBER))
    assert flow.state is FlowState(state), flow.state


@given("a flow whose opening packets upstreams 1, 2 and 3 have not answered")
def given_unanswered(context):
    for copy, after_s in enumerate((0.0, 0.2, 0.4)):
        packet = opening_packet(NUMBER, retransmit_count=copy)
        context.world.steer(packet, after_s=after_s)
    # What the host finds of these openings is recorded before the later flow begins.
    context.world.steer(opening_packet(NUMBER + 1), after_s=1.0)
    context.world.steer(established_packet(NUMBER + 1, context.first_tag), after_s=0.01)
    context.suspected_before = suspicions(context)


def suspicions(context):
    return {
        name: context.world.steering.outliers.health_of(
            f"i-{name}"
        ).retransmitting_flows()
        for name in "123"
    }


@when("its upstream is left by the route")
def when_left(context):
    context.world.apply_config(config(2, "sheet"))


@when("its upstream drains")
def when_drains(context):
    draining = context.upstreams["1"]._replace(state=UpstreamState.DRAINING)
    context.upstreams["1"] = draining
    list_upstreams(context)


@when("its upstream leaves")
def when_leaves(context):
    del context.upstreams["1"]
    list_upstreams(context)


@when("its upstream is evacuated")
def when_evacuated(context):
    context.world.directory.set_evacuated_zones(frozenset("a"), context.world.now_s)


@when("its upstream restarts cold")
def when_restarts(context):
    """It may get no flow without a quota, which this host does not have."""
    cold = context.upstreams["1"]._replace(cold_for_ms=10_000, started_ms=2)
    context.upstreams["1"] = cold
    list_upstreams(context)


@when("its upstream moves to another service")
def when_moves(context):
    context.upstreams["1"] = context.upstreams["1"]._replace(service="sheet")
    list_upstreams(context)


@when(
    "{after_s:g} seconds later only copy {copy:d} of a later flow from its port arrives"
)
def when_later_copy(context, after_s, copy):
    packet = opening_packet(NUMBER, retransmit_count=copy)
    later = packet._replace(sequence=LATER_SEQUENCE)
    context.decision = context.world.steer(later, after_s=after_s)


@when("{after_s:g} seconds later a later flow begins with the same sequence number")
def when_same_sequence(context, after_s):
    context.decision = context.world.steer(opening_packet(NUMBER), after_s=after_s)


@when("{after_s:g} seconds later copy {copy:d} of its opening packet arrives")
def when_honest_copy(context, after_s, copy):
    packet = opening_packet(NUMBER, retransmit_count=copy)
    context.decision = context.world.steer(packet, after_s=after_s)


@then("the flow opens at an upstream of {service:w} that is not upstream 1")
def then_goes_to_other(context, service):
    assert isinstance(context.decision, Forward), context.decision
    name = context.decision.upstream.upstream_id.removeprefix("i-")
    assert name != "1" and is_upstream_of(name, service), context.decision


@then("the packet goes to upstream 1")
def then_goes_to_first(context):
    assert isinstance(context.decision, Forward), context.decision
    assert context.decision.upstream.upstream_id == FIRST, context.decision


@then("the flow continues at upstream 1")
def then_continues_at_first(context):
    if context.world.steering.flows.peek(flow_key(NUMBER)).state is FlowState.OPENING:
        return
    packet = established(FIRST_SEQUENCE + 1, acknowledged=500, payload_bytes=100)
    decision = context.world.steer(packet, after_s=0.05)
    assert isinstance(decision, Forward), decision
    assert decision.upstream.upstream_id == FIRST, decision


@then("no failure is recorded for it")
def then_no_failure(context):
    assert suspicions(context) == context.suspected_before
    assert isinstance(context.decision, Forward), context.decision


@then("the flow is a new one that has tried nothing")
def then_new(context):
    flow = context.world.steering.flows.peek(flow_key(NUMBER))
    assert flow.tried == (), flow.tried
    assert flow.opening_sequence == LATER_SEQUENCE
    assert flow.opened_at_s == context.world.now_s


@when(
    "another host opens a later flow from its port at upstream 1, {later_bytes:d} "
    "bytes on"
)
def when_opened_elsewhere(context, later_bytes):
    context.sequence = FIRST_SEQUENCE + later_bytes
    # Below that of the former flow's packets, as every second one is.
    context.acknowledged = 4_000_000_000
    later = established(context.sequence, acknowledged=context.acknowledged)
    assert isinstance(context.world.steer(later, after_s=1.0), Forward)


@when("the later flow sends {count:d} requests that are answered")
def when_requests(context, count):
    for _ in range(count):
        request = established(
            context.sequence, acknowledged=context.acknowledged, payload_bytes=100
        )
        context.decision = context.world.steer(request, after_s=0.2)
        context.sequence += 100
        context.acknowledged += 700
        answered = established(context.sequence, acknowledged=context.acknowledged)
        context.world.steer(answered, after_s=0.02)


@when("the former flow's last packet arrives")
def when_former_ends(context):
    ending = established(FIRST_SEQUENCE + 101, kind=PacketKind.ABORTING)
    assert isinstance(context.world.steer(ending, after_s=0.1), Forward)


@then("it counts as {count:d} open flow without a repeat")
def then_counts(context, count):
    flows = context.world.steering.flows
    assert flows.open_flow_count(FIRST) == count
    flow = flows.peek(flow_key(NUMBER))
    assert flow.state is FlowState.OPEN and flow.repeats == 0, flow.repeats


@then("that packet is forwarded")
def then_packet_forwarded(context):
    assert isinstance(context.decision, Forward), context.decision
