"""Steps for the shares of upstreams that hold more requests than others."""

import math
import random

from behave import given, then, when

from testbed.steeringparts import NoOpShareObserver, steering_settings, upstream
from testbed.unevenworld import AS_PRINTED, SITES, Policy, UnevenWorld
from tests.steeringharness import SteeringHarness, established_packet, make_listing
from wisteriatiller.ids import Address, ZoneId
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    BUCKETS,
    FindingsView,
    UpstreamRecorder,
    UpstreamReport,
    UpstreamWeights,
    ZoneEvidence,
    ZoneFindings,
)
from wisteriatiller.steering.packets import PacketKind
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.upstreams import upstream_tag

REPORT_INTERVAL_S = 0.6
STEP_S = 0.3
SLOW_TAG = upstream_tag("i-3")


class ReportingZone:
    """Hosts that report requests in flight to a reader, which computes weights."""

    def __init__(self, hosts, upstreams):
        self.random = random.Random(3)
        self.now_s = 1000.0
        self.hosts = [Address("10.0.1.1", 8000 + number) for number in range(hosts)]
        self.directory = UpstreamDirectory()
        made = [upstream(str(n), slots=2) for n in range(1, upstreams + 1)]
        self.directory.apply(make_listing(1, *made), self.now_s)
        self.tags = [upstream_tag(one.upstream_id) for one in made]
        self.weights = UpstreamWeights(ZoneId("a"), self.directory)
        self.history = []

    def run(self, duration_s, held):
        """Report every 0.6 s; ``held`` returns what an upstream holds at a moment."""
        for step in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            if step % 2 == 0:
                self._report(held)
            self.history.append(self.weights.shares(self.now_s))

    def _report(self, held):
        """Spread what each upstream holds over the hosts."""
        rows = {host: [] for host in self.hosts}
        for tag in self.tags:
            share, more = divmod(held(tag), len(self.hosts))
            for number, host in enumerate(self.hosts):
                in_flight = share + (number < more)
                rows[host].append(UpstreamReport(tag, in_flight=in_flight))
        for host, report in rows.items():
            self.weights.add_report(host, tuple(report), self.now_s)

    def wait(self, duration_s):
        """Let time pass without a report."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            self.history.append(self.weights.shares(self.now_s))


def rounded_by_chance(rng, value):
    return math.floor(value) + (rng.random() < value % 1)


def poisson(rng, mean):
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


@given("a zone of {hosts:d} hosts that report on {count:d} upstreams of 2 slots")
def given_reporting_zone(context, hosts, count):
    context.reporting = ReportingZone(hosts, count)


@when("upstream 3 holds {slow:g} requests and the others {usual:g} for {s:g} seconds")
def when_holds(context, slow, usual, s):
    zone = context.reporting
    zone.run(
        s,
        lambda tag: rounded_by_chance(zone.random, slow if tag == SLOW_TAG else usual),
    )


@when("every upstream holds {mean:g} requests by chance for {s:g} seconds")
def when_by_chance(context, mean, s):
    zone = context.reporting
    zone.run(s, lambda tag: poisson(zone.random, mean))


@when(
    "{count:d} upstreams hold {slow:d} requests and the others {usual:d} for {s:g} "
    "seconds"
)
def when_many_hold(context, count, slow, usual, s):
    many = set(context.reporting.tags[:count])
    context.reporting.run(s, lambda tag: slow if tag in many else usual)


@when("all hosts that report on upstream 3 are gone for {s:g} seconds")
def when_gone(context, s):
    context.reporting.wait(s)


@then("only upstream 3 has a lower weight, between {least:g} and {most:g}")
def then_only(context, least, most):
    found = context.reporting.history[-1]
    assert set(found) == {SLOW_TAG}, found
    assert least <= found[SLOW_TAG] <= most, found


@then("no upstream has a lower weight")
def then_none(context):
    assert not context.reporting.history[-1], context.reporting.history[-1]


@then("no weight has moved by more than {limit:g} in any second")
def then_small_steps(context, limit):
    history = context.reporting.history
    steps = round(1.0 / STEP_S)
    moves = [
        abs(later.get(tag, 1.0) - earlier.get(tag, 1.0))
        for earlier, later in zip(history, history[steps:], strict=False)
        for tag in context.reporting.tags
    ]
    assert max(moves) <= limit + 1e-9, max(moves)


@then("no weight has been below {limit:g}")
def then_never_below(context, limit):
    lowest = min(
        min(shares.values(), default=1.0) for shares in context.reporting.history
    )
    assert lowest >= limit, lowest


@then("at most {count:d} upstreams have a lower weight")
def then_at_most(context, count):
    found = context.reporting.history[-1]
    assert 1 <= len(found) <= count, found


def reader_shares(uses_zone_findings):
    """The shares at a reader whose hosts see upstream 3 slow and full for 10 s."""
    zone = ReportingZone(26, 21)
    evidence = ZoneEvidence(
        steering_settings("a", uses_zone_findings=uses_zone_findings),
        zone.hosts[0],
        zone.directory,
        UpstreamRecorder(uses_zone_findings),
        FindingsView(),
        NoOpShareObserver(),
        ConfigView(),
    )
    for _ in range(round(10.0 / REPORT_INTERVAL_S)):
        zone.now_s += REPORT_INTERVAL_S
        for number, host in enumerate(zone.hosts):
            rows = []
            for tag in zone.tags:
                is_slow = tag == SLOW_TAG
                counts = [0] * BUCKETS
                counts[5 if is_slow else 2] = 1
                held = number < (3 if is_slow else 1)
                rows.append(UpstreamReport(tag, tuple(counts), in_flight=int(held)))
            evidence.add_report(host, tuple(rows), zone.now_s)
        findings = evidence.update_findings(zone.now_s)
    return findings.shares


@when("a reader hears that upstream 3 is slow and holds 3 requests, the others 1")
def when_reader_hears(context):
    context.shares = reader_shares(uses_zone_findings=True)
    context.shares_without = reader_shares(uses_zone_findings=False)


@then("the share of upstream 3 is at most a quarter")
def then_lowest(context):
    assert context.shares[SLOW_TAG] <= 0.25, context.shares


@then("the findings without zone findings hold no weight")
def then_without(context):
    assert context.shares_without == {SLOW_TAG: 0.125}, context.shares_without


@when("{hosts:d} hosts serve upstreams of three speeds for {s:g} seconds")
def when_three_speeds(context, hosts, s):
    site = SITES["kopru"].scaled(6.0)
    world = context.uneven = UnevenWorld(site, AS_PRINTED, hosts, 1, Policy())
    context.lowest = {}

    def watch():
        world.clock.call_later(STEP_S, watch)
        now_s = world.clock.now_s()
        for reader in world.exchange.readers:
            for tag, share in reader.host.findings.current(now_s).shares.items():
                context.lowest[tag] = min(share, context.lowest.get(tag, 1.0))

    watch()
    world.run(s)


@then("no fast upstream has ever had a lower share than {limit:g}")
def then_fast_keep(context, limit):
    fast = {
        upstream_tag(one.listed.upstream_id)
        for one in context.uneven.upstreams.values()
        if one.slowness < 1.0
    }
    found = {tag: context.lowest[tag] for tag in fast & context.lowest.keys()}
    assert min(found.values(), default=1.0) >= limit, found


@then("each upstream has taken at least a quarter of the mean")
def then_none_idle(context):
    arrivals = [one.arrivals for one in context.uneven.upstreams.values()]
    mean = sum(arrivals) / len(arrivals)
    assert min(arrivals) >= mean / 4, (min(arrivals), mean)


@given("steering with {count:d} upstreams of which the first has a share of {share:g}")
def given_share(context, count, share):
    made = [upstream(f"{number}") for number in range(1, count + 1)]
    context.world = SteeringHarness(upstreams=made, uses_zone_findings=True)
    context.findings = ZoneFindings({upstream_tag("i-1"): share})


@when("{count:d} flows are opened and closed one after the other")
def when_opened_and_closed(context, count):
    world = context.world
    context.chosen = []
    for number in range(count):
        world.now_s += 0.05
        world.steering.findings.set(context.findings, world.now_s)
        chosen = world.open_flow(number).upstream_id
        context.chosen.append(chosen)
        tag = upstream_tag(chosen)
        world.steer(established_packet(number, tag, kind=PacketKind.ABORTING))


@then("the first upstream has taken {least:d} to {most:d} of them")
def then_taken(context, least, most):
    found = context.chosen.count("i-1")
    assert least <= found <= most, found
