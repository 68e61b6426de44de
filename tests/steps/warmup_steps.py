"""Steps for upstreams that start or recover: reports and load patterns."""

from behave import given, then, when

from testbed.steeringparts import route_config, upstream, warmup_config
from testbed.warmupcases import CaseRun
from testbed.warmupworld import WarmupSizes
from tests.steeringharness import make_listing
from wisteriatiller.ids import Address
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    BUCKETS,
    PaceObserver,
    PaceReason,
    UpstreamReport,
    WarmupPacer,
)
from wisteriatiller.steering.evidence.warmup import BEGIN_REASONS
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.upstreams import upstream_tag

REPORT_S = 0.6
COMPUTE_S = 0.3
FAST_BUCKET = 2
STARTING = "i-0"


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
