"""Steps for the admission of new flows: hosts with given loads, and whole services."""

from collections import Counter

from behave import given, then, when

from testbed.admissionworld import AdmissionWorld, WorldSizes
from testbed.bench_admission import SETTLE_S, USUAL_DEMAND
from testbed.steeringparts import steering_settings, upstream
from tests.steeringharness import make_listing
from wisteriatiller.ids import FlowKey, ServiceId
from wisteriatiller.steering import (
    ConfigVersion,
    Forward,
    Packet,
    PacketKind,
    Refuse,
    Route,
    RouteConfig,
    ServiceAddress,
    WeightedService,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import ServiceLoad, ZoneFindings
from wisteriatiller.steering.packets import RefusalReason
from wisteriatiller.steering.reporting import Reporter
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.selection.routeuse import RouteUse
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import NO_TAG, upstream_tag
from wisteriatiller.telemetry import Counters, EventLog

ZONES = "abc"
SLOTS_PER_ZONE = 30
UPSTREAMS_PER_ZONE = 10
FINDING_INTERVAL_S = 0.6
SEED = 5
SEEDS = (5, 6, 7)
URGENT = Route(
    "urgent",
    ServiceAddress(bytes((198, 18, 0, 1, 1, 187))),
    (WeightedService(ServiceId("stock"), 1.0),),
    priority=0,
    target_latency_ms=652,
    timeout_ms=3260,
)
USUAL = URGENT._replace(
    name="usual",
    service_address=ServiceAddress(bytes((198, 18, 0, 2, 1, 187))),
    priority=1,
    target_latency_ms=553,
    timeout_ms=2766,
)
# Work of 60 ms: what the slots answer in a second.
ANSWERS_PER_SLOT_PER_S = 16.7
SAMPLED_FLOWS = 200


class MemoryLog(EventLog):
    """Keeps events as pairs of name and fields."""

    def __init__(self):
        self.events = []

    def event(self, name, **pairs):
        self.events.append((name, pairs))

    def flow_event(self, name, **pairs):
        self.event(name, **pairs)

    def last(self, name):
        return [pairs for found, pairs in self.events if found == name][-1]

    def count(self, name):
        return sum(found == name for found, _ in self.events)


class LoadedHost:
    """One host's steering, which is given findings with chosen loads."""

    def __init__(self):
        self.now_s = 1000.0
        self.log = MemoryLog()
        self.counters = Counters()
        self.directory, self.config = UpstreamDirectory(), ConfigView()
        reporter = Reporter(
            self.log, self.counters, self.config, self.directory, lambda: self.now_s
        )
        settings = steering_settings(
            "a", uses_zone_findings=True, refuses_on_overload=True
        )
        self.steering = FlowSteering(settings, self.directory, self.config, reporter)
        self.routes = [URGENT, USUAL]
        self.silent = frozenset()
        self.services = ["stock"]
        self.last_packet = None
        self._version = 0
        self._ports = 0
        self.apply()

    def apply(self):
        """Put the listing and the routes in force."""
        self._version += 1
        listed = [
            upstream(
                f"{index}{zone}{number:x}",
                service=service,
                zone=zone,
                started_ms=self._version,
            )
            for index, service in enumerate(self.services, 1)
            for zone in ZONES
            for number in range(UPSTREAMS_PER_ZONE)
        ]
        listing = make_listing(self._version, *listed)
        self.directory.apply(listing, self.now_s, 60.0)
        config = RouteConfig(ConfigVersion(self._version), tuple(self.routes), 15_000)
        self.config.apply(config)
        self.config.confirm(self.now_s)

    def find(self, per_slot, answers=1.0, wait_s=None, zones=ZONES):
        """Give the host a finding, and let it see a flow of each route.

        ``zones`` are those whose hosts report. ``answers`` scales the rate of answers
        of busy slots, and ``wait_s`` sets it by the wait of a new request.
        ``per_slot`` may be a dict by zone.
        """
        self.now_s += FINDING_INTERVAL_S
        silent_part = len(self.silent) / (len(ZONES) * UPSTREAMS_PER_ZONE)
        slots = SLOTS_PER_ZONE * (1.0 - silent_part)
        loads = []
        for zone in ZONES:
            # The hosts of the first zone have filled what others do not report of.
            reporting_zone = zone if zone in zones else "a"
            in_zone = per_slot[zone] if isinstance(per_slot, dict) else per_slot
            in_flight = round(in_zone * slots)
            answers_per_s = answers * ANSWERS_PER_SLOT_PER_S * slots
            if wait_s is not None:
                answers_per_s = in_flight / wait_s
            loads.append(
                ServiceLoad(
                    reporting_zone, "stock", zone, in_flight, answers_per_s, 100.0, 0.5
                )
            )
        findings = ZoneFindings({}, self.silent, tuple(loads))
        self.steering.findings.set(findings, self.now_s)
        for route in self.routes:
            self.open(route)

    def packet(self, route, client=None, port=None, copy=0):
        self._ports += 1
        number = self._ports if port is None else port
        client_bytes = (client or 0).to_bytes(2, "big")
        key = bytes((100, 64)) + client_bytes + (number % 65536).to_bytes(2, "big")
        return Packet(
            flow=FlowKey(key + route.service_address),
            service_address=route.service_address,
            kind=PacketKind.OPENING,
            tag=NO_TAG,
            sequence=5000,
            acknowledged=copy,
            payload_bytes=0,
            retransmit_count=copy,
        )

    def open(self, route, **changes):
        self.last_packet = self.packet(route, **changes)
        return self.steering.steer(self.last_packet, self.now_s)

    def refused_fraction(self, route):
        """The fraction of a sample of new flows that is refused for overload."""
        refused = 0
        for _ in range(SAMPLED_FLOWS):
            decision = self.open(route)
            refused += is_overload(decision)
        return refused / SAMPLED_FLOWS


def is_overload(decision):
    return isinstance(decision, Refuse) and decision.reason is RefusalReason.OVERLOADED


@given("a host that knows the loads of three zones with 30 slots each")
def given_loaded_host(context):
    context.host = LoadedHost()


@given("a fifth of the upstreams of each zone are silent")
def given_silent(context):
    context.host.silent = frozenset(
        upstream_tag(f"i-1{zone}{number:x}")
        for zone in ZONES
        for number in range(UPSTREAMS_PER_ZONE // 5)
    )


@given("the routes have a second service with room")
def given_second_service(context):
    host = context.host
    host.services = ["stock", "spare"]
    services = tuple(WeightedService(ServiceId(name), 1.0) for name in host.services)
    host.routes = [route._replace(services=services) for route in host.routes]
    host.apply()


@when("the requests in flight are {per_slot:g} a slot for {count:d} findings")
def when_findings(context, per_slot, count):
    for _ in range(count):
        context.host.find(per_slot)


@when(
    "the requests in flight are {per_slot:g} a slot for {count:d} findings, with 20 "
    "times the answers"
)
def when_findings_with_rejections(context, per_slot, count):
    for _ in range(count):
        context.host.find(per_slot, answers=20.0)


@when(
    "the requests in flight are {per_slot:g} a slot for {count:d} findings, with few "
    "answers"
)
def when_findings_with_few_answers(context, per_slot, count):
    for _ in range(count):
        context.host.find(per_slot, answers=0.2)


@when(
    "the requests in flight are {per_slot:g} a slot for {count:d} findings, and a new "
    "one waits {wait_s:g} s"
)
def when_findings_with_wait(context, per_slot, count, wait_s):
    for _ in range(count):
        context.host.find(per_slot, wait_s=wait_s)


@when(
    "the requests in flight alternate between {low:g} and {high:g} a slot for "
    "{count:d} findings"
)
def when_alternating(context, low, high, count):
    for number in range(count):
        context.host.find(high if number % 2 else low)


@when("three waves of {low:g} to {high:g} requests in flight a slot pass")
def when_waves(context, low, high):
    for _ in range(3):
        for step in (0, 1, 2, 3, 4, 5, 5, 4, 3, 2, 1, 0):
            context.host.find(low + (high - low) * step / 5)


@when(
    "the requests in flight are {per_slot:g} a slot for {count:d} findings while {case}"
)
def when_findings_in_case(context, per_slot, count, case):
    host = context.host
    find = {
        "one zone has room": lambda: host.find(
            {"a": per_slot, "b": 2.9, "c": 2.0 * per_slot}
        ),
        "no row of one zone has ever come": lambda: host.find(per_slot, zones="ab"),
        "the rows of one zone are 3.5 s old": lambda: find_with_old_rows(
            host, per_slot
        ),
        "there are no findings": lambda: None,
    }.get(case, lambda: host.find(per_slot))
    if case == "the route has no limits":
        host.routes[1] = USUAL._replace(target_latency_ms=0, timeout_ms=0)
        host.apply()
    if case == "the route is the only one of the service":
        host.routes = [USUAL]
        host.apply()
    has_one_finding = "one finding" in case
    for _ in range(1 if has_one_finding else count):
        find()
    if case == "one finding and three listings said so":
        for _ in range(3):
            host.now_s += 0.1
            host.apply()
            host.open(USUAL)
    if case == "no finding has come for 2.1 s":
        host.now_s += 2.1


def find_with_old_rows(host, per_slot):
    host.find(per_slot, zones="ab")
    current = host.steering.findings.current(host.now_s)
    old = current.loads[-1]._replace(reporting_zone="c", age_s=3.5)
    findings = current._replace(loads=(*current.loads, old))
    host.steering.findings.set(findings, host.now_s)


@when("a flow of the less urgent route is {outcome}")
def when_flow_opened(context, outcome):
    expected = {"placed": lambda d: isinstance(d, Forward), "refused": is_overload}
    decision = context.host.open(USUAL)
    assert expected[outcome](decision), decision
    context.packet = context.host.last_packet


@when("{clients:d} clients each open {count:d} flows from other ports")
def when_clients_open(context, clients, count):
    context.refused_by_try = Counter()
    context.clients = clients
    for client in range(clients):
        for number in range(count):
            decision = context.host.open(USUAL, client=client, port=1000 + number)
            context.refused_by_try[number] += is_overload(decision)


@then("a first, a second and a third flow of a client is refused as often, within 0.08")
def then_tries_equal(context):
    fractions = [
        context.refused_by_try[number] / context.clients for number in (0, 1, 2)
    ]
    assert 0.3 < fractions[0] < 0.7, fractions
    assert max(fractions) - min(fractions) <= 0.08, fractions


@then("no client's flows are all refused if it opens 30")
def then_none_refused_for_ever(context):
    for client in range(context.clients):
        decisions = [
            context.host.open(USUAL, client=client, port=2000 + number)
            for number in range(30)
        ]
        assert not all(map(is_overload, decisions)), client


@then("a copy of that flow's opening packet is forwarded")
def then_copy_forwarded(context):
    decision = steer_copy(context)
    assert isinstance(decision, Forward), decision


@then("a copy of an opening packet that this host has not seen is forwarded")
def then_unseen_copy_forwarded(context):
    decisions = [context.host.open(USUAL, copy=1) for _ in range(SAMPLED_FLOWS)]
    assert all(isinstance(decision, Forward) for decision in decisions), decisions


@then("a copy of that flow's opening packet is refused within 1.4 s")
def then_copy_refused(context):
    assert is_overload(steer_copy(context, 1.3 - 2 * FINDING_INTERVAL_S))


def steer_copy(context, after_s=0.2):
    context.host.now_s += after_s
    packet = context.packet._replace(acknowledged=1, retransmit_count=1)
    return context.host.steering.steer(packet, context.host.now_s)


@then("no opening packet of the {urgency} route is refused")
def then_none_refused(context, urgency):
    fraction = context.host.refused_fraction(route_of(context, urgency))
    assert fraction == 0.0, fraction


@then("all opening packets of the {urgency} route are refused")
def then_all_refused(context, urgency):
    fraction = context.host.refused_fraction(route_of(context, urgency))
    assert fraction == 1.0, fraction


def route_of(context, urgency):
    name = {"less urgent": "usual", "most urgent": "urgent"}[urgency]
    return next(route for route in context.host.routes if route.name == name)


@then("the host has begun to refuse at most {count:d} time")
def then_begun_at_most(context, count):
    assert context.host.log.count("admission_limited") <= count, context.host.log.events


@then("the host has begun to refuse exactly {count:d} times")
def then_begun(context, count):
    assert context.host.log.count("admission_limited") == count


@then("the host has stopped to refuse exactly {count:d} times")
def then_stopped(context, count):
    assert context.host.log.count("admission_unlimited") == count


@then("the log has {event} with service, in flight, slots, wait and route")
def then_log_event(context, event):
    fields = context.host.log.last(event)
    assert fields["service"] == "stock" and fields["route"] == "usual", fields
    assert fields["slots"] == len(ZONES) * SLOTS_PER_ZONE, fields
    assert fields["in_flight"] > 0 and "expected_wait_ms" in fields, fields


@then("the log has flow_refused with the same inputs and their age")
def then_log_refusal(context):
    fields = context.host.log.last("flow_refused")
    assert fields["reason"] == "overloaded" and fields["probability"] == 1.0, fields
    assert fields["in_flight"] == round(5.5 * SLOTS_PER_ZONE) * len(ZONES), fields
    assert 500 <= fields["loads_age_ms"] <= 700, fields


@then("the refusals of priority 1 are counted")
def then_refusals_counted(context):
    rendered = context.host.counters.render()
    assert 'overload_refusals_total{kind="priority_1"}' in rendered, rendered


@given("a service under admission control")
def given_service(context):
    context.worlds = [settled_world(SEED)]
    context.others = []


@given("a service under admission control, with seeds 5, 6 and 7")
def given_service_of_seeds(context):
    context.worlds = [settled_world(seed) for seed in SEEDS]
    context.others = []


@given("a service under admission control, and the same without, with seeds 5, 6 and 7")
def given_two_services(context):
    context.worlds = [settled_world(seed) for seed in SEEDS]
    context.others = [settled_world(seed, uses_admission=False) for seed in SEEDS]


def settled_world(seed, uses_admission=True):
    world = AdmissionWorld(WorldSizes(uses_admission=uses_admission), seed)
    world.run(SETTLE_S, USUAL_DEMAND)
    world.start_tally()
    return world


def all_worlds(context):
    return (*context.worlds, *context.others)


def mean(values):
    values = list(values)
    return sum(values) / len(values)


@when("one zone is evacuated and a fifth of the upstreams stop to respond")
def when_capacity_lost(context):
    for world in all_worlds(context):
        world.evacuate(2)
        world.stop_responding(0.2)


@when("the demand of all types is {factor:g} times the usual for {length_s:d} seconds")
def when_demand_rises(context, factor, length_s):
    play(context, length_s, factor * USUAL_DEMAND)


@when(
    "the demand of {kind} requests is {factor:g} times the usual for {length_s:d} "
    "seconds"
)
def when_demand_of_type_rises(context, kind, factor, length_s):
    demand = {kind.replace("-", "_"): factor * USUAL_DEMAND}
    play(context, length_s, USUAL_DEMAND, **demand)


@when(
    "only non-idempotent requests come, at {factor:g} times the capacity, for "
    "{length_s:d} seconds"
)
def when_only_urgent(context, factor, length_s):
    # The capacity in requests of the usual mix, in terms of one type of them.
    sizes = context.worlds[0].sizes
    kind = next(kind for kind in sizes.types if kind.priority == 0)
    work_s = sum(other.share * other.work_s for other in sizes.types)
    demand = {"non_idempotent": factor * work_s / (kind.share * kind.work_s)}
    play(context, length_s, 0.0, **demand)


@when(
    "one zone has three times the demand of each other, in all {factor:g} times the "
    "capacity"
)
def when_uneven(context, factor):
    for world in context.worlds:
        world.zone_weights = [3.0, 1.0, 1.0]
    play(context, 10, factor)


@when(
    "the load is {factor:g} times the capacity, and half of the hosts restart after "
    "{after_s:d} seconds"
)
def when_hosts_restart(context, factor, after_s):
    context.refusals_after_restart = []
    for world in all_worlds(context):
        world.run(after_s, factor)
        world.restart_hosts(0.5)
        restarted = [host for host in world.hosts if host.is_restarted]
        world.run(0.3, factor)
        at_once = sum(host.refusals for host in restarted)
        world.run(2.7, factor)
        within = [host.refusals for host in restarted]
        context.refusals_after_restart.append((at_once, within))
        world.settle()


@when(
    "the load is {factor:g} times the capacity, and the exchange stops after "
    "{after_s:d} seconds"
)
def when_exchange_stops(context, factor, after_s):
    world = context.worlds[0]
    world.run(after_s, factor)
    assert world.tally.total("refusals"), world.tally.counts
    world.is_exchanging = False
    world.run(3.5, factor)
    world.start_tally()
    world.run(3.0, factor)


def play(context, length_s, demand, **demand_by_type):
    for world in all_worlds(context):
        world.run(length_s, demand, **demand_by_type)
        world.settle()


@then("no flow is refused later than 3.5 s after that")
def then_no_late_refusal(context):
    assert not context.worlds[0].tally.total("refusals")


@then("the restarted hosts refuse flows within 3 seconds, but none at once")
def then_restarted_refuse(context):
    for at_once, within in context.refusals_after_restart[: len(context.worlds)]:
        assert at_once == 0, at_once
        assert all(within), within


@then("hosts have refused flows, but none of the most urgent route")
def then_refused_less_urgent(context):
    for world in context.worlds:
        counts = world.tally.counts
        assert counts["idempotent", "refusals"] > 0, counts
        assert counts["non-idempotent", "refusals"] == 0, counts


@then("hosts have refused no flow")
def then_refused_none(context):
    assert context.worlds[0].tally.total("refusals") == 0


@then("more urgent requests are answered in time with admission control than without")
def then_more_urgent(context):
    shares = [world.tally.in_time_share("non-idempotent") for world in context.worlds]
    others = [world.tally.in_time_share("non-idempotent") for world in context.others]
    assert mean(shares) > mean(others), (shares, others)


@then("the value of the answers is not lower with admission control")
def then_value(context):
    values = [world.tally.value_share for world in context.worlds]
    others = [world.tally.value_share for world in context.others]
    assert mean(values) >= mean(others), (values, others)


@then("the refused fractions of the flows of the zones differ by at most 0.05")
def then_zones_equal(context):
    shares = [
        mean(world.tally.refused_share(zone) for world in context.worlds)
        for zone in range(len(ZONES))
    ]
    assert min(shares) > 0.0, shares
    assert max(shares) - min(shares) <= 0.05, shares


@given("a host that sees flows of the priorities 1 and 2, and one probe of priority 0")
def given_route_use(context):
    context.now_s = 1000.0
    context.routes = {
        priority: URGENT._replace(name=f"route-{priority}", priority=priority)
        for priority in range(3)
    }
    context.use = RouteUse(ConfigView())
    context.use.record(ServiceId("stock"), context.routes[0], context.now_s)
    for number in range(40):
        context.now_s += 0.5
        context.use.record(
            ServiceId("stock"), context.routes[1 + number % 2], context.now_s
        )


@then("the route of priority {priority:d} is the most urgent one")
def then_most_urgent(context, priority):
    route = context.routes[priority]
    assert context.use.is_most_urgent(ServiceId("stock"), route, context.now_s)


@then("the route of priority {priority:d} is not")
def then_not_most_urgent(context, priority):
    route = context.routes[priority]
    assert not context.use.is_most_urgent(ServiceId("stock"), route, context.now_s)
