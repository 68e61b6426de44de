"""Steps for flows while zones are evacuated, and for the calls that read of it."""

import json
import time

from behave import given, then, when

from testbed.platformstandin import (
    HEADER,
    RST,
    SYN,
    StandInStore,
    configuration,
    pack_packet,
    route,
)
from testbed.steeringparts import route_config, steering_settings, upstream
from tests.steeringharness import SteeringHarness, established_packet, opening_packet
from tests.steps.hostprocess_steps import (
    SERVICE_ADDRESS,
    client_address,
    run_command,
    start_host,
)
from tests.storecalls import run_call
from wisteriatiller.ids import Address
from wisteriatiller.network import EventLoop
from wisteriatiller.platform.store import PlatformStore
from wisteriatiller.steering import Discard, Forward, Refuse
from wisteriatiller.steering.ports import ConfigInvalid, ConfigRead
from wisteriatiller.steering.upstreams import upstream_tag

FOREIGN_KEYS = ("op/evacuate/", "op/evacuate/a/b", "op/notes", "op/evacuate/\x07")
WAIT_S = 5.0


def zones_of(text):
    return frozenset() if text == "none" else frozenset(text.split(","))


# Steering


@given("steering of a route to one service in zone a and one in zone b")
def given_two_services(context):
    context.upstreams = [
        upstream("1", service="stock", zone="a"),
        upstream("2", service="sheet", zone="b"),
    ]
    config = route_config(1, ("stock", 50.0), ("sheet", 50.0))
    context.world = SteeringHarness(config=config, upstreams=context.upstreams)


@when("the zones {zones} are evacuated")
def when_evacuated(context, zones):
    context.world.now_s += 1.0
    context.world.directory.set_evacuated_zones(zones_of(zones), context.world.now_s)


@when("{count:d} flows are opened in turn")
def when_flows_opened(context, count):
    numbers = range(1000, 1000 + count)
    context.placed = [context.world.open_flow(number) for number in numbers]


@then("all of them go to upstreams of zones {zones}")
def then_zones(context, zones):
    assert {one.zone for one in context.placed} == zones_of(zones)


@then("each open flow sends {count:d} more packets to its upstream")
def then_stays(context, count):
    for number, expected in enumerate(context.flow_upstreams):
        tag = upstream_tag(expected.upstream_id)
        for step in range(count):
            context.sequence = getattr(context, "sequence", 1000) + 100
            packet = established_packet(
                number, tag, sequence=context.sequence, acknowledged=2 + step
            )
            decision = context.world.steer(packet, after_s=0.01)
            assert decision == Forward(expected, tag), decision


@then("another host that knows the evacuation forwards each flow to its upstream")
def then_other_host(context):
    other = SteeringHarness(zone="b", upstreams=context.upstreams)
    other.directory.set_evacuated_zones(
        context.world.directory.evacuated_zones, other.now_s
    )
    for number, expected in enumerate(context.flow_upstreams):
        tag = upstream_tag(expected.upstream_id)
        decision = other.steer(established_packet(number, tag))
        assert decision == Forward(expected, tag), decision


@when("a flow is opened")
def when_opened(context):
    context.number = getattr(context, "number", 5000) + 1
    context.decision = context.world.steer(opening_packet(context.number))


@then("it is refused because of {reason}")
def then_refused(context, reason):
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.reason.value == reason, context.decision


@then("it goes to an upstream of zone {zones}")
def then_goes_to(context, zones):
    assert isinstance(context.decision, Forward), context.decision
    assert context.decision.upstream.zone in zones.split(" or "), context.decision


@then("the copy is dropped because of {reason}")
def then_dropped(context, reason):
    assert isinstance(context.decision, Discard), context.decision
    assert context.decision.reason.value == reason, context.decision


@when("a flow is opened at an upstream of zone {zone:w}")
def when_opened_in_zone(context, zone):
    when_opened(context)
    while context.decision.upstream.zone != zone:
        when_opened(context)
    context.copies = 0


@when("the upstream answers it")
def when_answered(context):
    packet = established_packet(context.number, context.decision.tag)
    context.world.steer(packet, after_s=0.01)


@when("the client repeats the opening packet after {delay_ms:d} ms")
def when_repeated(context, delay_ms):
    """Repeat it so long after its last copy; evacuating has taken a second."""
    context.copies += 1
    if context.copies == 1:
        context.world.now_s -= 1.0
    packet = opening_packet(context.number, context.copies)
    context.decision = context.world.steer(packet, after_s=delay_ms / 1000)


@then("the evacuation of zone {zone:w} ended now, and no other")
def then_ended(context, zone):
    for entry in context.world.directory.entries():
        is_ended = entry.upstream.zone == zone
        expected_s = context.world.now_s if is_ended else None
        assert entry.evacuation_ended_at_s == expected_s, entry.upstream


@then("no evacuation has ended")
def then_none_ended(context):
    entries = context.world.directory.entries()
    assert {entry.evacuation_ended_at_s for entry in entries} == {None}


@when("an upstream of zone a is added and one of zone b moves to zone a")
def when_added_and_moved(context):
    moved = next(one for one in context.upstreams if one.zone == "b")
    others = [one for one in context.upstreams if one is not moved]
    moved = moved._replace(zone="a")
    added = upstream("99", zone="a")
    context.world.apply_listing(*others, moved, added)
    context.excluded = {moved.upstream_id, added.upstream_id}


@then("the upstreams that were added or moved get none")
def then_excluded(context):
    placed = {one.upstream_id for one in context.placed}
    assert not placed & context.excluded, placed


# The store client


def start_store(context):
    context.store = StandInStore("127.0.0.1")
    context.add_cleanup(context.store.close)
    context.store.put("op/config", configuration(1, route("198.18.0.1", 443, "stock")))


@given("a stand-in store with {count:d} evacuated zones and other keys of operators")
def given_store(context, count):
    start_store(context)
    for number in range(count):
        context.store.put(f"op/evacuate/zone-{number:03}", {})
    for key in FOREIGN_KEYS:
        context.store.put(key, b"\x00")


@given("a stand-in store with {count:d} keys of operators that hold spaces and signs")
def given_odd_keys(context, count):
    start_store(context)
    for number in range(count):
        context.store.put(f"op/a &?#%ü {number:03}", {})


@given("a configuration that cannot be read")
def given_bad_config(context):
    context.store.put("op/config", b"\x00")


@given("a store client that applies evacuations")
def given_client(context):
    make_client(context, evacuation_bound_s=5.0)


@given("a store client that applies no evacuations")
def given_plain_client(context):
    make_client(context)


def make_client(context, **changes):
    address = Address.parse(context.store.address)
    context.loop = EventLoop()
    settings = steering_settings(store=address, **changes)
    context.client = PlatformStore(context.loop, settings)


@then("it has configuration {version:d} and {count:d} evacuated zones")
def then_read(context, version, count):
    assert isinstance(context.answer, ConfigRead), context.answer
    assert context.answer.config.version == version, context.answer
    assert len(context.answer.evacuations.zones) == count, context.answer


@then("the configuration is invalid, and {count:d} zones are evacuated")
def then_invalid(context, count):
    assert isinstance(context.answer, ConfigInvalid), context.answer
    assert len(context.answer.evacuations.zones) == count, context.answer


@then("the keys that name no zone are reported")
def then_reported(context):
    found = set(context.answer.evacuations.ignored_keys)
    assert found == set(FOREIGN_KEYS), found


@then("the calls were")
def then_calls(context):
    expected = [row["call"] for row in context.table]
    assert context.store.calls == expected, context.store.calls


@when(
    "{zone} is withdrawn, evacuated and withdrawn, and configuration {version:d} is "
    "written"
)
def when_changed(context, zone, version):
    key = f"op/evacuate/{zone}"
    context.store.remove(key)
    context.store.put(key, {})
    context.store.put(
        "op/config", configuration(version, route("198.18.0.1", 443, "stock"))
    )
    context.store.remove(key)


@then("a watch returns configuration {version:d} and these changes")
def then_watch(context, version):
    context.after = context.answer.position.revision
    answer = run_call(
        context, lambda done: context.client.watch_config(context.after, 1.0, done)
    )
    assert answer.config.version == version, answer
    found = [(zone, is_evacuated) for zone, is_evacuated in answer.evacuations.changes]
    expected = [(row["zone"], row["is_evacuated"] == "yes") for row in context.table]
    assert found == expected, found


@then("the last call was a watch of op/ after the revision of the read")
def then_last_call(context):
    expected = f"/kv-watch?prefix=op/&after={context.after}&wait_ms=1000"
    assert context.store.calls[-1] == expected, context.store.calls[-1]


@when("the store client watches after revision {after:d} for {wait_s:g} seconds")
def when_watches(context, after, wait_s):
    context.watched = run_call(
        context, lambda done: context.client.watch_config(after, wait_s, done)
    )


@then("the answers tell no evacuations")
def then_none_told(context):
    assert context.answer.evacuations is None, context.answer
    assert context.watched.evacuations is None, context.watched


# A host process


@given("a stand-in store and a host process that applies evacuations")
def given_host(context):
    start_host(context, bounds__evacuate_ms="5000")


@when("the zone of the upstream is evacuated")
def when_zone_evacuated(context):
    context.host.store.put("op/evacuate/zone-a", {})


@when("the evacuation of the zone of the upstream is withdrawn")
def when_zone_withdrawn(context):
    context.host.store.remove("op/evacuate/zone-a")


@then("an opening packet is refused")
def then_packet_refused(context):
    context.client_port += 1
    packet = pack_packet(client_address(context), SERVICE_ADDRESS, SYN, seq=78)
    context.host.send(packet)
    fields = HEADER.unpack(context.host.client_socket.recv(2000))
    assert fields[8] == RST, fields
    # The flow that is open has the port before.
    context.refused_flow = f"{client_address(context)}>{SERVICE_ADDRESS}"
    context.client_port -= 1


@then("a refusal because of {reason} is logged with the zones {zones}")
def then_refusal_logged(context, reason, zones):
    lines = context.host.log_path.read_text().splitlines()
    wanted = ("event=flow_refused ", f" reason={reason} ", f" evacuated={zones} ")
    assert any(all(part in line for part in wanted) for line in lines), lines


@then("the status page, the metrics and beliefs show that {zone} is evacuated")
def then_shown(context, zone):
    status = json.loads(context.host.page(9464, "/status")[1])
    (row,) = status["evacuated"]["zones"]
    assert row["zone"] == zone, status["evacuated"]
    then_gauge(context, 1)
    asked = f"{context.host.ip}:9464"
    exit_status, output = run_command("beliefs", "--host", asked)
    assert exit_status == 0, output
    assert f"{zone} for " in output, output


@then("the metrics show {count:d} evacuated zones")
def then_gauge(context, count):
    line = f"wisteriatiller_evacuated_zones {count}\n"
    end_s = time.monotonic() + WAIT_S
    while line not in context.host.page(9464, "/metrics")[1]:
        assert time.monotonic() < end_s, context.host.page(9464, "/metrics")[1]
        time.sleep(0.05)


@then("the command explain names {reason} for the refused flow")
def then_explained(context, reason):
    log = str(context.host.log_path)
    exit_status, output = run_command("explain", context.refused_flow, log)
    assert exit_status == 0, output
    assert f"reason={reason}" in output, output
