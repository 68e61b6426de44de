"""Steps for upstreams that start or recover: reports, load patterns and the limit."""

import random
from collections import deque

from behave import given, then, when

from testbed.steeringparts import (
    VirtualScheduler,
    route_config,
    steering_settings,
    upstream,
)
from testbed.warmupcases import CaseRun
from testbed.warmupworld import WarmupSizes, WarmupWorld, most_in_a_second
from tests.steeringfakes import SimulatedFleet
from tests.steeringharness import (
    RecordingObserver,
    established_packet,
    make_listing,
    opening_packet,
)
from wisteriatiller.ids import Address, ServiceId
from wisteriatiller.steering import Discard, DiscardReason, Forward, WarmupSettings
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    BUCKETS,
    PaceObserver,
    PaceReason,
    UpstreamReport,
    WarmupPacer,
    ZoneFindings,
)
from wisteriatiller.steering.evidence.warmup import BEGIN_REASONS
from wisteriatiller.steering.evidence.warmupquotas import (
    Demand,
    KnownHosts,
    WarmupQuotas,
)
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import upstream_tag

REPORT_S = 0.6
COMPUTE_S = 0.3
FAST_BUCKET = 2
STARTING = "i-0"


def warmup_config(warmup_s=2.0, flows_per_s=0.0):
    warmup = WarmupSettings(ServiceId("stock"), warmup_s, flows_per_s)
    return route_config(1, ("stock", 1.0))._replace(warmups=(warmup,))


class RecordingPaces(PaceObserver):
    """Records the changes of shares with their times."""

    def __init__(self):
        self.now_s = 0.0
        self.changes = []

    def pace_changed(self, change):
        self.changes.append((self.now_s, change))


class Reader:
    """A pacer that gets reports of many hosts, on virtual time."""

    def __init__(self, hosts, upstreams, cold_s):
        self.now_s = 1000.0
        self.hosts = [Address("10.0.1.1", 8000 + number) for number in range(hosts)]
        self.upstreams = [f"i-{number}" for number in range(upstreams)]
        self.directory, self.config = UpstreamDirectory(), ConfigView()
        self.config.apply(warmup_config())
        self.paces = RecordingPaces()
        self.pacer = WarmupPacer("a", self.directory, self.config, self.paces)
        made = [upstream(str(number)) for number in range(upstreams)]
        self.directory.apply(make_listing(1, *made[1:]), self.now_s)
        self.compute()
        if cold_s:
            made[0] = made[0]._replace(cold_for_ms=round(1000 * cold_s))
        self.directory.apply(make_listing(2, *made), self.now_s)
        self.shares = self.compute()

    def compute(self):
        self.paces.now_s = self.now_s
        self.shares = self.pacer.shares({}, self.now_s)
        return self.shares

    def share(self):
        return self.shares.get(upstream_tag(STARTING), 1.0)

    def report(self, host, rows):
        self.pacer.add_report(self.hosts[host], tuple(rows), self.now_s)

    def report_others(self):
        """Let each host report one fast answer of each upstream but the first."""
        for host in range(len(self.hosts)):
            rows = [row(name, FAST_BUCKET) for name in self.upstreams[1:]]
            self.report(host, rows)

    def report_answers(self, count, bucket):
        """Let as many hosts report one answer of the first upstream."""
        for host in range(count):
            self.report(host, [row(STARTING, bucket)])

    def pass_time(self, duration_s):
        for _ in range(round(duration_s / COMPUTE_S)):
            self.now_s += COMPUTE_S
            self.compute()


def row(upstream_id, bucket, **changes):
    """A report of one answer in a bucket."""
    counts = tuple(int(index == bucket) for index in range(BUCKETS))
    return UpstreamReport(upstream_tag(upstream_id), counts, **changes)


@given("a reader of {hosts:d} hosts with {count:d} upstreams")
def given_reader(context, hosts, count):
    context.reader = Reader(hosts, count, 0.0)


@given(
    "a reader of {hosts:d} hosts with {count:d} upstreams, of which one starts cold "
    "for {cold_s:d} s"
)
def given_cold(context, hosts, count, cold_s):
    context.reader = Reader(hosts, count, cold_s)


@when(
    "the starting upstream answers {count:d} requests in each 0.6 s as fast as the "
    "others"
)
def when_fast(context, count):
    reader = context.reader
    context.named = []
    for _ in range(25):
        reader.report_others()
        reader.report_answers(count, FAST_BUCKET)
        reader.pass_time(REPORT_S)
        context.named.append((reader.now_s, upstream_tag(STARTING) in reader.shares))


@when("the starting upstream answers {count:d} requests in 0.6 s as fast as the others")
def when_fast_once(context, count):
    reader = context.reader
    reader.report_others()
    reader.report_answers(count, FAST_BUCKET)
    reader.pass_time(REPORT_S)
    context.share_before = reader.share()


@when("it then answers {count:d} requests in 0.6 s, 4 times as slow as the others")
def when_slow(context, count):
    # Before the next step up is due.
    context.reader.report_answers(count, FAST_BUCKET + 2)


@when("it then leaves 1 request without an answer")
def when_missing(context):
    context.reader.report_answers(1, BUCKETS - 1)


@when(
    "the starting upstream leaves 1 request in each 0.6 s without an answer, for "
    "{duration_s:d} s"
)
def when_all_missing(context, duration_s):
    for _ in range(round(duration_s / REPORT_S)):
        context.reader.report_others()
        context.reader.report_answers(1, BUCKETS - 1)
        context.reader.pass_time(REPORT_S)


@when("the starting upstream answers nothing, since it gets no flow")
def when_nothing(context):
    for _ in range(15):
        context.reader.report_others()
        context.reader.pass_time(REPORT_S)


@when("the starting upstream answers as fast as the others, but one host misses all")
def when_bad_link(context):
    reader = context.reader
    for _ in range(6):
        reader.report_others()
        reader.report_answers(6, FAST_BUCKET)
        reader.report(29, [row(name, BUCKETS - 1) for name in reader.upstreams])
        reader.pass_time(REPORT_S)


@when("openings of one upstream fail at {hosts:d} hosts for {duration_s:d} s")
def when_openings_fail(context, hosts, duration_s):
    reader = context.reader
    for _ in range(round(duration_s / REPORT_S)):
        for host in range(hosts):
            reader.report(
                host, [UpstreamReport(upstream_tag(STARTING), failed_openings=1)]
            )
        reader.pass_time(REPORT_S)


@when("the upstream makes progress again")
def when_progress(context):
    reader = context.reader
    reader.report(9, [UpstreamReport(upstream_tag(STARTING), progress_age_ms=100)])
    reader.pass_time(COMPUTE_S)


@when("the evacuation of the zone ends")
def when_evacuation_ends(context):
    reader = context.reader
    for entry in reader.directory.entries():
        entry.evacuation_ended_at_s = reader.now_s
    reader.pass_time(COMPUTE_S)


@when("the configuration sets no warm-up")
def when_no_warmup(context):
    reader = context.reader
    reader.paces.changes.clear()
    config = route_config(2, ("stock", 1.0))
    reader.config.apply(config)
    reader.pass_time(3.0)


@then("its share was 0.25, 0.5 and 1, with at least 0.5 s between the steps")
def then_steps(context):
    changes = context.reader.paces.changes
    assert [change.share for _, change in changes] == [0.25, 0.5, 1.0], changes
    times_s = [at_s for at_s, _ in changes]
    gaps_s = [last - first for first, last in zip(times_s, times_s[1:], strict=False)]
    assert min(gaps_s) >= 0.5, gaps_s


@then("the findings name its share until it is no longer cold")
def then_named(context):
    cold_until_s = 1000.0 + 10.0
    while_cold = [named for at_s, named in context.named if at_s < cold_until_s]
    afterwards = [named for at_s, named in context.named if at_s > cold_until_s + 2.0]
    assert all(while_cold) and not any(afterwards), context.named


@then("the next findings halve its share")
def then_halved(context):
    context.reader.pass_time(COMPUTE_S)
    assert context.reader.share() == context.share_before / 2, context.reader.share()


@then("its share is a sixteenth")
def then_sixteenth(context):
    assert context.reader.share() == 1 / 16, context.reader.share()


@then("it has its full share after at most {limit_s:d} s")
def then_full_after(context, limit_s):
    complete = [
        at_s - 1000.0
        for at_s, change in context.reader.paces.changes
        if change.reason is PaceReason.COMPLETE
    ]
    assert complete and complete[0] <= limit_s, context.reader.paces.changes


@then("it warms up from a share of 0.25 because it has recovered")
def then_recovered(context):
    changes = [change for _, change in context.reader.paces.changes]
    begun = [(change.share, change.reason) for change in changes]
    assert begun[:1] == [(0.25, PaceReason.RECOVERED)], changes


@then("no upstream warms up")
def then_none(context):
    changes = [change for _, change in context.reader.paces.changes]
    begun = [change for change in changes if change.reason in BEGIN_REASONS]
    assert not begun, begun
    assert not context.reader.shares, context.reader.shares


@then("all upstreams of the zone warm up because of it")
def then_all_warm_up(context):
    changes = [change for _, change in context.reader.paces.changes]
    reasons = {change.upstream_id: change.reason for change in changes}
    assert set(reasons) == set(context.reader.upstreams), reasons
    assert set(reasons.values()) == {PaceReason.EVACUATION_ENDED}, reasons


@given("{hosts:d} hosts in 3 zones with {count:d} upstreams each")
def given_sizes(context, hosts, count):
    context.sizes = WarmupSizes(hosts_per_zone=hosts // 3, upstreams_per_zone=count)


@when("the case {name} is run with the seeds {first:d} to {last:d}")
def when_case(context, name, first, last):
    context.case = name
    context.seeds = range(first, last + 1)
    context.runs = [CaseRun(name, context.sizes, seed) for seed in context.seeds]


def totals_without_pacing(context):
    """The results of the same case and seeds without the part under test."""
    sizes = context.sizes._replace(uses_pacing=False)
    return [CaseRun(context.case, sizes, seed).world.result() for seed in context.seeds]


@then("no started upstream rejects a request")
def then_no_rejection(context):
    for seed, run in zip(context.seeds, context.runs, strict=True):
        for started in run.started:
            assert not started.rejections_at_s, (seed, started.listed.upstream_id)


@then("each started upstream has its full share at most {limit_s:d} s after it is warm")
def then_full_share(context, limit_s):
    """A share is complete when the reader no longer names a smaller one."""
    for seed, run in zip(context.seeds, context.runs, strict=True):
        for started in run.started:
            steps = [
                (at_s, change)
                for at_s, change in run.world.paces.steps
                if change.upstream_id == started.listed.upstream_id
            ]
            at_s, last = steps[-1]
            assert last.share == 1.0, (seed, steps)
            warm_at_s = max(started.cold_until_s, run.began_at_s)
            assert at_s - warm_at_s <= limit_s, (seed, at_s - warm_at_s, steps)


@then("the upstream began {count:d} warm-ups in each run")
def then_began(context, count):
    for seed, run in zip(context.seeds, context.runs, strict=True):
        begun = [
            change
            for _, change in run.world.paces.steps
            if change.reason is PaceReason.STARTED
        ]
        assert [change.share for change in begun] == [0.25] * count, (seed, begun)


@then("fewer requests are late than without pacing")
def then_fewer_late(context):
    late = sum(run.world.result().late for run in context.runs)
    before = sum(result.late for result in totals_without_pacing(context))
    assert late < before, (late, before)


@then("fewer requests fail than without pacing")
def then_fewer_fail(context):
    failed = sum(run.world.result().failed for run in context.runs)
    before = sum(result.failed for result in totals_without_pacing(context))
    assert failed < before, (failed, before)


@then("the new reader resumes the shares that were in force")
def then_resumed(context):
    for seed, run in zip(context.seeds, context.runs, strict=True):
        shares = {}
        for _, change in run.world.paces.steps:
            if change.reason is PaceReason.RESUMED:
                before = shares[change.upstream_id]
                # A follower may not have heard of the last step.
                assert before / 2 <= change.share <= 2 * before, (seed, change, before)
            shares[change.upstream_id] = change.share
        resumed = [
            change
            for _, change in run.world.paces.steps
            if change.reason is PaceReason.RESUMED
        ]
        assert len(resumed) == len(run.started), (seed, resumed)


@given(
    "120 hosts in 3 zones with a limit of {limit:d} flows per second, times "
    "{overage:g}, plus {slack:d}"
)
def given_limit(context, limit, overage, slack):
    context.sizes = WarmupSizes(
        hosts_per_zone=40,
        upstreams_per_zone=10,
        flows_per_s=60.0,
        limit_per_s=float(limit),
        overage=overage,
        slack_flows=float(slack),
        warmup_s=10.0,
    )


@given(
    "{hosts:d} hosts in one zone with a limit of {limit:d} flows per second, times "
    "{overage:g}, plus {slack:d}"
)
def given_one_zone(context, hosts, limit, overage, slack):
    # The load of review/5: one request in a flow, 30 flows a second and upstream.
    context.sizes = WarmupSizes(
        zones="a",
        hosts_per_zone=hosts,
        upstreams_per_zone=8,
        slots=8,
        flows_per_s=240.0,
        requests_per_flow=1.0,
        limit_per_s=float(limit),
        overage=overage,
        slack_flows=float(slack),
        warmup_s=5.0,
    )


def start_three(world):
    return [world.start_upstream("a", 10.0, 1.6) for _ in range(3)]


def steady_pattern(world):
    return [world.start_upstream("a", 10.0, 1.6)]


def burst_pattern(world):
    started = steady_pattern(world)
    world.run(2.0)
    for zone in world.sizes.zones:
        world.load_factor[zone] = 2.6
    return started


def power_pattern(world):
    started = start_three(world)
    world.run(2.0)
    world.restart_hosts()
    world.reconnect(10)
    return started


def cut_pattern(world):
    started = start_three(world)
    world.run(2.0)
    world.cut_off("a")
    world.reconnect(3)
    return started


def evacuation_pattern(world):
    world.end_evacuation("a", 10.0, 1.6)
    return world.zone_upstreams("a")


def all_cold_pattern(world):
    for zone in world.sizes.zones:
        world.end_evacuation(zone, 10.0, 1.6)
    world.reconnect(2)
    return list(world.upstreams.values())


def joining_pattern(world):
    started = start_three(world)
    world.run(2.0)
    for _ in range(10):
        world.add_host("a")
    world.reconnect(3)
    return started


def dying_pattern(world):
    started = start_three(world)
    world.run(2.0)
    world.kill_reader("a")
    world.reconnect(3)
    return started


def restart_pattern(world):
    upstream = world.zone_upstreams("a")[0]
    upstream.is_down = True
    world.run(4.0)
    world.restart_upstream(upstream, 6.0, 1.6, entry_delay_s=1.2)
    return [upstream]


@when("an upstream answers nobody for {down_s:g} s and returns cold, in {runs:d} runs")
def when_short_outage(context, down_s, runs):
    context.cold = []
    for seed in range(1, runs + 1):
        world = WarmupWorld(context.sizes, seed)
        # Each outage begins at another moment between two exchanges.
        world.run(10.0 + 0.13 * (seed % 7))
        upstream = world.zone_upstreams("a")[0]
        upstream.is_down = True
        world.run(down_s)
        world.restart_upstream(upstream, 5.0, 1.6, entry_delay_s=1.2)
        world.run(8.0)
        context.cold.append((seed, upstream))


PATTERNS = {
    "an upstream answers nobody and returns cold": restart_pattern,
    "an upstream starts in steady load": steady_pattern,
    "an upstream starts and all zones burst 2.6 times": burst_pattern,
    "upstreams start and all hosts lose power": power_pattern,
    "upstreams start and the zone is cut off": cut_pattern,
    "all upstreams of a zone return from an evacuation": evacuation_pattern,
    "all upstreams are cold at once": all_cold_pattern,
    "upstreams start and 10 hosts join": joining_pattern,
    "upstreams start and the reader dies": dying_pattern,
}


@when("{pattern}, with the seeds {first:d} to {last:d}")
def when_pattern(context, pattern, first, last):
    context.cold, context.results = [], []
    for seed in range(first, last + 1):
        world = WarmupWorld(context.sizes, seed)
        world.run(10.0)
        world.reset_counts()
        started = PATTERNS[pattern](world)
        world.run(10.0)
        context.cold += [(seed, upstream) for upstream in started]
        context.results.append(world)


@then("no cold upstream gets more than {limit:d} opening packets in any second")
def then_limit(context, limit):
    for seed, started in context.cold:
        most = most_in_a_second(started.cold_openings_at_s)
        assert most <= limit, (seed, started.listed.upstream_id, most)


@then(
    "it gets at most {limit:d} opening packets in any second from {after_s:g} s after "
    "its return"
)
def then_limit_after(context, limit, after_s):
    """The first reports of its return take up to 0.6 s, and the findings as long."""
    for seed, started in context.cold:
        from_s = started.cold_until_s - 6.0 + after_s
        times_s = [at_s for at_s in started.cold_openings_at_s if at_s >= from_s]
        assert most_in_a_second(times_s) <= limit, (seed, most_in_a_second(times_s))
        assert times_s, seed


@then("each cold upstream gets at least {flows:d} opening packets while it is cold")
def then_used(context, flows):
    for seed, started in context.cold:
        count = len(started.cold_openings_at_s)
        assert count >= flows, (seed, started.listed.upstream_id, count)


@then("flows are refused as overloaded and none otherwise")
def then_refused(context):
    for world in context.results:
        assert world.refusals, world.result()
        assert set(world.refusal_reasons) == {"overloaded"}, world.refusal_reasons


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
        settings = steering_settings(
            uses_zone_findings=True, warmup_overage=1.25, warmup_slack_flows=2.0
        )
        self._own, self._follower = (Address("10.0.1.1", port) for port in (1, 2))
        self._known = KnownHosts(2, frozenset())
        self._quotas = WarmupQuotas(settings, self._own, self.directory, config)
        self.directory.apply(make_listing(1, self.cold), self.now_s)

    def lend(self):
        """Return the flows that both hosts may open after ten seconds of reading."""
        for _ in range(30):
            self.now_s += COMPUTE_S
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
        return (
            super()
            .host_settings(number, zone, seeds)
            ._replace(
                uses_zone_findings=True, warmup_overage=1.25, warmup_slack_flows=2.0
            )
        )


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
