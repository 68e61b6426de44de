"""Steps for the quotas of cold upstreams: single hosts, lenders and starts."""

import random
from collections import deque

from behave import given, then, when

from testbed.steeringparts import (
    VirtualScheduler,
    steering_settings,
    upstream,
    warmup_config,
)
from tests.steeringfakes import SimulatedFleet
from tests.steeringharness import (
    RecordingObserver,
    established_packet,
    make_listing,
    opening_packet,
)
from wisteriatiller.ids import Address
from wisteriatiller.steering import Discard, DiscardReason, Forward
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import ZoneFindings
from wisteriatiller.steering.evidence.warmupquotas import (
    Demand,
    KnownHosts,
    WarmupQuotas,
)
from wisteriatiller.steering.evidence.zoneevidence import RECOMPUTE_INTERVAL_S
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import upstream_tag

# A limit of 7 flows with 4 flows per second.
LIMIT_SETTINGS = {
    "uses_zone_findings": True,
    "warmup_overage": 1.25,
    "warmup_slack_flows": 2.0,
}


class LimitedHost:
    """One host's steering with a cold upstream and a quota."""

    def __init__(self, cold, others, quota):
        self.now_s = 1000.0
        settings = steering_settings(uses_zone_findings=True, warmup_overage=1.0)
        directory, config = UpstreamDirectory(), ConfigView()
        config.apply(warmup_config(flows_per_s=4.0))
        config.confirm(self.now_s)
        directory.apply(make_listing(1, cold, *others), self.now_s)
        self.steering = FlowSteering(settings, directory, config, RecordingObserver())
        quotas = {upstream_tag(cold.upstream_id): quota} if quota else {}
        self.findings = ZoneFindings(warmup_quotas=quotas)

    def steer(self, packet, after_s=0.0):
        self.now_s += after_s
        self.steering.findings.set(self.findings, self.now_s)
        return self.steering.steer(packet, self.now_s)


@given("one host with a quota of 1 flow at its only upstream, which is cold")
def given_quota(context):
    context.host = LimitedHost(upstream("cold", cold_for_ms=60_000), (), 1)


@when("a client opens a flow that is answered and retransmits its opening packet")
def when_retransmitted(context):
    host = context.host
    decision = host.steer(opening_packet(1))
    assert isinstance(decision, Forward), decision
    host.steer(established_packet(1, decision.tag), 0.05)
    context.decisions = [
        host.steer(opening_packet(1, retransmit_count=1), 0.15),
        host.steer(opening_packet(1, retransmit_count=2), 1.2),
    ]


@then("the retransmission is dropped, and a later one is forwarded")
def then_dropped(context):
    first, second = context.decisions
    assert first == Discard(DiscardReason.WARMUP_LIMIT), first
    assert isinstance(second, Forward), second


@given("one host without a quota, and two upstreams of which one is cold")
def given_no_quota(context):
    cold = upstream("cold", cold_for_ms=60_000)
    context.host = LimitedHost(cold, (upstream("warm"),), 0)


@when("20 flows are opened one after the other at once")
def when_twenty(context):
    context.decisions = [
        context.host.steer(opening_packet(number)) for number in range(20)
    ]


@then("the cold upstream gets none of them, and none is refused")
def then_warm_only(context):
    names = {decision.upstream.upstream_id for decision in context.decisions}
    assert names == {"i-warm"}, names


class Lender:
    """A reader with one follower that lends the flows of one cold upstream."""

    def __init__(self):
        self.now_s = 1000.0
        self.cold = upstream("cold", cold_for_ms=3_600_000)
        self.directory, config = UpstreamDirectory(), ConfigView()
        config.apply(warmup_config(flows_per_s=4.0))
        settings = steering_settings(**LIMIT_SETTINGS)
        self._own, self._follower = (Address("10.0.1.1", port) for port in (1, 2))
        self._known = KnownHosts(2, frozenset())
        self._quotas = WarmupQuotas(settings, self._own, self.directory, config)
        self.directory.apply(make_listing(1, self.cold), self.now_s)

    def lend(self):
        """Return the flows that both hosts may open after ten seconds of reading."""
        for _ in range(30):
            self.now_s += RECOMPUTE_INTERVAL_S
            self._quotas.read(Demand({}, ()), self._known, self.now_s)
            self._quotas.add_host(self._follower, self.now_s)
            lent = [
                self._quotas.quotas_of(host, self._known, self.now_s)
                for host in (self._own, self._follower)
            ]
        tag = upstream_tag(self.cold.upstream_id)
        return sum(quotas[tag] for quotas in lent)


@given("a reader that lends the limit of 7 flows at a cold upstream of its only zone")
def given_lender(context):
    context.lender = Lender()
    assert context.lender.lend() == 7


@when(
    "another writer leaves an entry of another zone for a service that no route names"
)
def when_odd_zone(context):
    odd = upstream("77", service="inventory", zone="elsewhere")
    listing = make_listing(2, context.lender.cold, odd)
    context.lender.directory.apply(listing, context.lender.now_s)


@then("the reader still lends 7 flows")
def then_lends(context):
    lent = context.lender.lend()
    assert lent == 7, lent


class LimitedFleet(SimulatedFleet):
    """Hosts with zone findings and a limit of 4 * 1.25 + 2 flows."""

    def host_settings(self, number, zone, seeds=()):
        settings = super().host_settings(number, zone, seeds)
        return settings._replace(**LIMIT_SETTINGS)


class QuotaSum:
    """The quotas of an upstream that all hosts together had in the last window."""

    def __init__(self, fleet, tag):
        self._fleet = fleet
        self._tag = tag
        self._recent = {}

    def update(self, now_s, window_s):
        total = 0
        for host in self._fleet.hosts:
            recent = self._recent.setdefault(host.name, deque())
            recent.append((now_s, host.findings.warmup_quota(self._tag, now_s)))
            while now_s - recent[0][0] > window_s:
                recent.popleft()
            total += max(quota for _, quota in recent)
        return total


def start_limited_fleet(seed_hosts, seed):
    """Start 120 hosts that share a store; return the largest sum of quotas, and last.

    All hosts have traffic, so that their reports are never empty.
    """
    random.seed(seed)
    clock = VirtualScheduler()
    fleet = LimitedFleet(clock)
    fleet.store.put_config(warmup_config(60.0, 4.0))
    cold = [upstream(f"cold{zone}", zone=zone, cold_for_ms=120_000) for zone in "abc"]
    warm = [upstream(f"warm{zone}", zone=zone) for zone in "abc"]
    fleet.store.put_upstreams(clock.now_s(), *cold, *warm)
    first = [fleet.add_host("abc"[number % 3]) for number in range(seed_hosts)]
    addresses = tuple(host.settings.control_listen for host in first)
    numbers = list(range(seed_hosts + 1, 121))
    random.shuffle(numbers)
    for number in numbers:
        clock.call_later(
            random.uniform(0.0, 0.8),
            lambda number=number: fleet.add_host("abc"[number % 3], addresses, number),
        )
    sums = [QuotaSum(fleet, upstream_tag(one.upstream_id)) for one in cold]
    most = last = 0
    for _ in range(250):
        for host in fleet.hosts:
            zone = host.settings.zone
            host.recorder.record_progress(f"i-warm{zone}", clock.now_s())
        clock.run_for(0.1)
        totals = [one.update(clock.now_s(), 1.1) for one in sums]
        most, last = max(most, *totals), min(totals)
    return most, last


@when(
    "120 hosts with {seed_hosts:d} seeds start at once, with the seeds {first:d} to "
    "{last:d} of the run"
)
def when_fleet_starts(context, seed_hosts, first, last):
    context.sums = [
        start_limited_fleet(seed_hosts, seed) for seed in range(first, last + 1)
    ]


@then("the quotas in force in any 1.1 s never exceed the limit of {limit:d}")
def then_never_exceeded(context, limit):
    assert max(most for most, _ in context.sums) <= limit, context.sums


@then("after 25 s most of the limit is lent")
def then_lent(context):
    assert min(last for _, last in context.sums) > 3, context.sums
