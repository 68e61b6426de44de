"""Steps for the exchange of loads between hosts and zones."""

from behave import given, then, when

from testbed.steeringparts import upstream
from tests.sharingfleet import ZONES, start_fleet
from tests.steeringharness import flow_key
from wisteriatiller.ids import UpstreamId
from wisteriatiller.steering.flowtable import Flow, FlowState

STEP_S = 0.1
SERVICE = "stock"
OWN_REQUESTS = 2
NEXT_REQUESTS = 1
# Each host answers a request of its own zone in every step.
ANSWERS_PER_S = 1.0 / STEP_S


def next_zone(zone):
    return ZONES[(ZONES.index(zone) + 1) % len(ZONES)]


def upstream_of(zone):
    return UpstreamId(f"i-{ZONES.index(zone) + 1}")


@given("{hosts:d} hosts in 3 zones that share findings")
def given_hosts(context, hosts):
    start_fleet(context, is_store_silent=False, hosts=hosts, uses_zone_findings=True)
    made = [upstream(str(n), zone=zone) for n, zone in enumerate(ZONES, start=1)]
    context.fleet.store.put_upstreams(context.scheduler.now_s(), *made)
    context.scheduler.run_for(10.0)
    context.held = {}
    context.doubled = []
    # The requests that each host has known of its own zone, at each step.
    context.known = []


def hold_requests(context, host):
    """Let a host have requests without an answer in its own zone and the next."""
    zone = host.settings.zone
    targets = [zone] * OWN_REQUESTS + [next_zone(zone)] * NEXT_REQUESTS
    flows = [
        Flow(flow_key(number), upstream_of(target), 1, context.scheduler.now_s())
        for number, target in enumerate(targets)
    ]
    for flow in flows:
        flow.state = FlowState.OPEN
        host.recorder.record_request(flow)
    context.held[host.name] = flows


def run_holding(context, duration_s):
    for _ in range(round(duration_s / STEP_S)):
        for host in context.fleet.hosts:
            for flow in context.held[host.name]:
                flow.asked_at_s = context.scheduler.now_s()
            host.recorder.record_answer(upstream_of(host.settings.zone), 0.03)
        context.scheduler.run_for(STEP_S)
        context.doubled += doubled_loads(context)
        context.known.append(
            {
                host.name: known_requests(context, host).get((host.settings.zone,) * 2)
                for host in live_hosts(context)
            }
        )


def doubled_loads(context):
    """Loads at any live host that count more than there is, or stand there twice."""
    hosts_of_zone = len(context.fleet.hosts) // len(ZONES)
    found = []
    for host in live_hosts(context):
        loads = known_loads(context, host)
        origins = [load[:3] for load in loads]
        found += [origin for origin in origins if origins.count(origin) > 1]
        for load in loads:
            is_own = load.reporting_zone == load.upstream_zone
            held = OWN_REQUESTS if is_own else NEXT_REQUESTS
            if load.in_flight > held * hosts_of_zone:
                found.append((host.name, load))
    return found


def live_hosts(context):
    return [host for host in context.fleet.hosts if not host.is_down]


def known_loads(context, host):
    return host.findings.loads(context.scheduler.now_s())


def known_requests(context, host):
    """The requests in flight that a host knows of, by reporting and upstream zone."""
    return {
        (load.reporting_zone, load.upstream_zone): load.in_flight
        for load in known_loads(context, host)
    }


def requests_of(zone, hosts):
    """The requests in flight of so many hosts of a zone."""
    expected = {(zone, zone): OWN_REQUESTS * hosts}
    if hosts:
        expected[zone, next_zone(zone)] = NEXT_REQUESTS * hosts
    return expected


def check_requests(context, hosts, expected):
    """Assert that each host knows these requests, among others."""
    for host in hosts:
        found = known_requests(context, host)
        missing = {
            key: (count, found.get(key))
            for key, count in expected.items()
            if found.get(key) != count
        }
        assert not missing, (host.name, missing)


@when("every host holds 2 requests in its zone and 1 in the next, for {s:g} seconds")
def when_hold(context, s):
    for host in context.fleet.hosts:
        hold_requests(context, host)
    run_holding(context, s)


@when("the live hosts hold their requests for {s:g} more seconds")
def when_hold_on(context, s):
    run_holding(context, s)


@when("all requests end and {s:g} seconds of sharing pass")
def when_end(context, s):
    for flows in context.held.values():
        for flow in flows:
            flow.asked_at_s = None
    context.scheduler.run_for(s)


@when("a host of the first zone is cut off from all other hosts")
def when_host_cut(context):
    in_zone = [host for host in context.fleet.hosts if host.settings.zone == "a"]
    context.cut_host = in_zone[-1]
    for host in context.fleet.hosts:
        if host is not context.cut_host:
            context.fleet.partition(host, context.cut_host)


@then("every host knows the requests of {count:d} hosts of each zone")
@then("every live host knows the requests of {count:d} hosts of each zone")
def then_all_know(context, count):
    for zone in ZONES:
        check_requests(context, live_hosts(context), requests_of(zone, count))


@then("every host has known them for the last {s:g} seconds")
def then_steadily(context, s):
    expected = OWN_REQUESTS * len(context.fleet.hosts) // len(ZONES)
    recent = context.known[-round(s / STEP_S) :]
    other = [
        (name, count)
        for known in recent
        for name, count in known.items()
        if count != expected
    ]
    assert not other, other[:5]


@then("every other host knows the requests of {count:d} hosts of the first zone")
def then_others_know(context, count):
    others = [host for host in context.fleet.hosts if host is not context.cut_host]
    check_requests(context, others, requests_of("a", count))


@then("that host knows only its own requests")
def then_only_own(context):
    found = known_requests(context, context.cut_host)
    assert found == requests_of("a", 1), found


@then("the hosts of the first zone know loads of that zone only")
def then_first_only(context):
    for host in live_hosts(context):
        if host.settings.zone == "a":
            found = {origin for origin, _ in known_requests(context, host)}
            assert found == {"a"}, (host.name, found)


@then("the hosts of the other zones know loads of the other zones only")
def then_others_only(context):
    for host in live_hosts(context):
        if host.settings.zone != "a":
            found = {origin for origin, _ in known_requests(context, host)}
            assert found == {"b", "c"}, (host.name, found)


@then("no request has been counted twice")
def then_not_twice(context):
    assert not context.doubled, context.doubled[:5]


@then("no host knows more than {factor:g} times the answers of a zone")
def then_answers(context, factor):
    limit = factor * ANSWERS_PER_S * len(context.fleet.hosts) / len(ZONES)
    loads = [
        load for host in live_hosts(context) for load in known_loads(context, host)
    ]
    rates = [load.answers_per_s for load in loads]
    assert max(rates) <= limit + 1e-9, (max(rates), limit)
    assert max(rates) >= limit / 2, (max(rates), limit)


@then("every host knows a load of 0 of each zone")
def then_zero(context):
    for zone in ZONES:
        check_requests(context, live_hosts(context), requests_of(zone, 0))
