"""Steps for the detection of slow upstreams."""

import random

from behave import given, then, when

from testbed.steeringparts import upstream
from tests.steeringharness import SteeringHarness, make_listing, opening_packet
from wisteriatiller.ids import Address
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    FindingsView,
    SlowUpstreamDetector,
    UpstreamRecorder,
    ZoneFindings,
)
from wisteriatiller.steering.upstreams import upstream_tag

REPORT_INTERVAL_S = 0.6
REQUESTS_PER_S = 8
SLOW_ID = "i-3"


class Zone:
    """Hosts that report to one reader, and requests spread over them at random."""

    def __init__(self, hosts, upstreams):
        self.random = random.Random(7)
        self.now_s = 1000.0
        self.hosts = [Address("10.0.1.1", 8000 + number) for number in range(hosts)]
        self.upstreams = [f"i-{number}" for number in range(1, upstreams + 1)]
        self.directory = UpstreamDirectory()
        made = [upstream(str(number)) for number in range(1, upstreams + 1)]
        self.directory.apply(make_listing(1, *made), self.now_s)
        self.detector = SlowUpstreamDetector(self.directory)

    def run(self, duration_s, wait_s):
        """Report requests; ``wait_s`` returns a wait, or None for no answer."""
        for _ in range(round(duration_s / REPORT_INTERVAL_S)):
            self.now_s += REPORT_INTERVAL_S
            seen = {host: UpstreamRecorder() for host in self.hosts}
            for upstream_id in self.upstreams:
                for _ in range(round(REQUESTS_PER_S * REPORT_INTERVAL_S)):
                    host = self.random.choice(self.hosts)
                    self._record(seen[host], upstream_id, wait_s(upstream_id, host))
            for host, latencies in seen.items():
                self.detector.add_report(
                    host, latencies.take_report(self.now_s), self.now_s
                )

    def _record(self, latencies, upstream_id, waited_s):
        if waited_s is None:
            latencies.record_timeout(upstream_id)
        else:
            spread = self.random.uniform(0.7, 1.3)
            latencies.record_answer(upstream_id, spread * waited_s)

    def reduced_shares(self):
        shares = self.detector.reduced_shares(self.now_s)
        return {share.upstream_id: share.fraction for share in shares.values()}


@given("a zone of {hosts:d} hosts with {upstreams:d} upstreams of a service")
def given_zone(context, hosts, upstreams):
    context.simulated = Zone(hosts, upstreams)


@when("upstream 3 takes {slow_ms:d} ms, the others {usual_ms:d} ms, for {s:g} seconds")
def when_slow(context, slow_ms, usual_ms, s):
    def wait_s(upstream_id, host):
        return (slow_ms if upstream_id == SLOW_ID else usual_ms) / 1000

    context.simulated.run(s, wait_s)


@when("upstream 3 answers nothing, the others in {usual_ms:d} ms, for {s:g} seconds")
def when_silent(context, usual_ms, s):
    def wait_s(upstream_id, host):
        return None if upstream_id == SLOW_ID else usual_ms / 1000

    context.simulated.run(s, wait_s)


@when(
    "{count:d} upstreams take {slow_ms:d} ms, the others {usual_ms:d} ms, for {s:g} "
    "seconds"
)
def when_many_slow(context, count, slow_ms, usual_ms, s):
    slow = set(context.simulated.upstreams[:count])

    def wait_s(upstream_id, host):
        return (slow_ms if upstream_id in slow else usual_ms) / 1000

    context.simulated.run(s, wait_s)


@when(
    "all take 40 ms for {s:g} seconds, but {count:d} hosts measure {ms:d} ms for every "
    "upstream"
)
def when_slow_hosts(context, s, count, ms):
    slow = set(context.simulated.hosts[:count])
    context.simulated.run(s, lambda _, host: (ms if host in slow else 40) / 1000)


@when(
    "all take 40 ms for {s:g} seconds, {count:d} hosts report {slow:d} slow "
    "answers of upstream 3"
)
def when_wrong_reports(context, s, count, slow):
    zone = context.simulated
    zone.run(s, lambda upstream_id, host: 0.04)
    for host in zone.hosts[:count]:
        latencies = UpstreamRecorder()
        for _ in range(slow):
            latencies.record_timeout(SLOW_ID)
        zone.detector.add_report(host, latencies.take_report(zone.now_s), zone.now_s)


@when("a host applies the shares, and {s:g} seconds pass")
def when_applied(context, s):
    zone = context.simulated
    context.applied = FindingsView()
    fractions = {
        tag: one.fraction
        for tag, one in zone.detector.reduced_shares(zone.now_s).items()
    }
    context.applied.set(ZoneFindings(fractions), zone.now_s)
    assert context.applied.share_of(upstream_tag(SLOW_ID), zone.now_s) < 1.0
    zone.now_s += s


@then("only upstream 3 has a reduced share")
def then_only(context):
    assert set(context.simulated.reduced_shares()) == {SLOW_ID}, (
        context.simulated.reduced_shares()
    )


@then("its share is between a sixteenth and a quarter")
def then_share_between(context):
    assert 1 / 16 <= context.simulated.reduced_shares()[SLOW_ID] <= 1 / 4


@then("no upstream has a reduced share")
def then_none(context):
    assert not context.simulated.reduced_shares(), context.simulated.reduced_shares()


@then("at least 1 and at most {count:d} upstreams have a reduced share")
def then_at_most(context, count):
    assert 0 < len(context.simulated.reduced_shares()) <= count


@then("upstream 3 has its full share on that host")
def then_full_share(context):
    tag, now_s = upstream_tag(SLOW_ID), context.simulated.now_s
    fraction = context.applied.share_of(tag, now_s)
    assert fraction == 1.0, fraction


@when("the hosts of the first zone measure a slow upstream for {s:g} seconds")
def when_zone_measures(context, s):
    hosts = [host for host in context.fleet.hosts if host.settings.zone == "a"]
    fast = [f"i-{number}" for number in range(2, 8)]
    made = [upstream(str(number)) for number in range(1, 8)]
    context.fleet.store.put_upstreams(context.scheduler.now_s(), *made)
    for _ in range(round(s / 0.2)):
        for host in hosts:
            host.recorder.record_answer("i-1", 0.5)
            for upstream_id in fast:
                host.recorder.record_answer(upstream_id, 0.03)
        context.scheduler.run_for(0.2)


def reducing_hosts(context):
    now_s = context.scheduler.now_s()
    tag = upstream_tag("i-1")
    return {
        host.name
        for host in context.fleet.hosts
        if host.findings.share_of(tag, now_s) < 1.0
    }


@then("every host of the first zone reduces its share")
def then_zone_reduces(context):
    zone = {host.name for host in context.fleet.hosts if host.settings.zone == "a"}
    assert zone <= reducing_hosts(context), reducing_hosts(context)


@then("no other host does")
def then_no_other_host(context):
    others = {host.name for host in context.fleet.hosts if host.settings.zone != "a"}
    assert not others & reducing_hosts(context), reducing_hosts(context)


@given(
    "steering with {count:d} upstreams of which the first has an eighth of its share"
)
def given_reduced(context, count):
    made = [upstream(f"{number}") for number in range(1, count + 1)]
    context.world = SteeringHarness(upstreams=made)


@when("{count:d} flows are opened one after the other")
def when_opened(context, count):
    world = context.world
    context.chosen = []
    for number in range(count):
        world.now_s += 0.05
        lowered = ZoneFindings({upstream_tag("i-1"): 0.125})
        world.steering.findings.set(lowered, world.now_s)
        context.chosen.append(world.steer(opening_packet(number)).upstream.upstream_id)


@then("the first upstream gets between {least:d} and {most:d} of them")
def then_between(context, least, most):
    assert least <= context.chosen.count("i-1") <= most, context.chosen.count("i-1")
