"""Steps for upstreams that stop responding, in a simulated zone."""

from statistics import median

from behave import given, then, when

from testbed.steeringparts import NoOpShareObserver, steering_settings, upstream
from tests.silentcases import HOST_CASES, UPSTREAM_CASES, make_unreliable, vanish
from tests.silentzone import SilentZone
from tests.steeringharness import flow_key, make_listing
from wisteriatiller.ids import Address, UpstreamId, ZoneId
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    EndReason,
    FindingsView,
    SilentUpstream,
    SilentUpstreamDetector,
    UpstreamRecorder,
    UpstreamReport,
    ZoneEvidence,
    ZoneFindings,
)
from wisteriatiller.steering.flowtable import Flow, FlowState
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.upstreams import upstream_tag

UPSTREAM_ID = UpstreamId("i-1")
TAG = upstream_tag(UPSTREAM_ID)
# Until the open flows are as many as they stay.
WARMUP_S = 6.0
TROUBLE_S = 8.0


def run_zone(seed, trouble, duration_s=TROUBLE_S, **arguments):
    """Run a zone, cause a trouble, and return the zone and the trouble's start."""
    zone = SilentZone(seed, **arguments)
    zone.run_for(WARMUP_S)
    started_at_s = zone.now_s()
    trouble(zone)
    zone.run_for(duration_s)
    return zone, started_at_s


def run_zones(context, seeds, trouble, **arguments):
    runs = [run_zone(seed, trouble, **arguments) for seed in range(seeds)]
    context.zones = [zone for zone, _ in runs]
    context.delays_s = [
        [silence.decided_at_s - started_at_s for silence in zone.verdicts]
        for zone, started_at_s in runs
    ]


@when(
    "upstream 1 vanishes in zones of {seeds:d} seeds with {requests:g} requests a flow"
)
def when_vanishes(context, seeds, requests):
    flows = {"long_fraction": 1.0, "requests_per_flow": requests}
    run_zones(context, seeds, vanish, duration_s=4.0, **flows)


@when(
    "upstream 1 vanishes in {seeds:d} zones with mixed flows and an unreliable exchange"
)
def when_vanishes_unreliable(context, seeds):
    def trouble(zone):
        make_unreliable(zone, 0.1)
        vanish(zone)

    run_zones(context, seeds, trouble)


@when("upstream 1 is {case} for 8 seconds, in zones of {seeds:d} different seeds")
def when_case(context, case, seeds):
    run_zones(context, seeds, UPSTREAM_CASES[case])


@when("upstream 1 is {case}, in {seeds:d} zones")
def when_case_in_zones(context, case, seeds):
    run_zones(context, seeds, UPSTREAM_CASES[case])


@when("upstream 1 is {case}, reports are unreliable, in {seeds:d} different zones")
def when_case_unreliable(context, case, seeds):
    def trouble(zone):
        make_unreliable(zone)
        UPSTREAM_CASES[case](zone)

    run_zones(context, seeds, trouble)


@when("{case}, in zones of {seeds:d} different seeds")
def when_host_case(context, case, seeds):
    run_zones(context, seeds, HOST_CASES[case])


@when("11 of 20 upstreams vanish at slightly different times")
def when_most_vanish(context):
    def trouble(zone):
        for number in range(1, 12):
            zone.later(zone.random.uniform(0.0, 0.3), vanish, zone, f"i-{number}")

    run_zones(context, 3, trouble)


@when("5 of 20 upstreams vanish at once")
def when_quarter_vanishes(context):
    def trouble(zone):
        for number in range(1, 6):
            vanish(zone, f"i-{number}")

    run_zones(context, 3, trouble)


@when("upstream 1 vanishes for 4 seconds and then answers again")
def when_returns(context):
    def trouble(zone):
        vanish(zone)
        zone.later(4.0, zone.upstreams[UPSTREAM_ID].resume)

    run_zones(context, 3, trouble, duration_s=11.0)
    context.returned_at_s = [zone.now_s() - 7.0 for zone in context.zones]


@when("upstream 1 vanishes and its verdict reaches all hosts")
def when_verdict_reaches_hosts(context):
    run_zones(context, 3, vanish, duration_s=4.0)
    for zone in context.zones:
        assert zone.silent_ids() == {UPSTREAM_ID}, zone.silent_ids()


@when("upstream 1 vanishes and another host reads 2 seconds later")
def when_reader_changes(context):
    def trouble(zone):
        vanish(zone)
        zone.reader.pause()
        zone.later(2.0, zone.change_reader)

    run_zones(context, 3, trouble, duration_s=6.0)


@when("upstream 1 vanishes in a zone that does not use findings")
def when_not_used(context):
    run_zones(context, 1, vanish, uses_findings=False)


@when("15 of 60 upstreams vanish, with and without the verdicts")
def when_fleet_vanishes(context):
    def trouble(zone):
        for number in range(1, 16):
            vanish(zone, f"i-{number}")
        zone.later(4.0, zone.remove_from_listing, range(1, 16))

    context.figures = {}
    for uses_findings in (True, False):
        zone, _ = run_zone(1, trouble, upstreams=60, uses_findings=uses_findings)
        zone.is_asking = False
        zone.run_for(4.0)
        context.figures[uses_findings] = zone.counts


@then("the figures are printed")
def then_printed(context):
    for uses_findings, counts in context.figures.items():
        print(f"verdicts {uses_findings}: {dict(sorted(counts.items()))}")


@then("at most a third as many requests expire with the verdicts as without")
def then_fewer_expire(context):
    with_verdicts, without = context.figures[True], context.figures[False]
    assert without["expired"] > 0
    assert 3 * with_verdicts["expired"] <= without["expired"], context.figures


@then("the verdicts fail no more requests than they save")
def then_no_more_fail(context):
    def unanswered(counts):
        return counts["expired"] + counts["failed"]

    figures = context.figures
    assert unanswered(figures[True]) <= unanswered(figures[False]), figures


@then("it alone is called silent, after {limit_s:g} seconds in half of the zones")
def then_called_soon(context, limit_s):
    for zone in context.zones:
        assert zone.silent_ids() == {UPSTREAM_ID}, zone.silent_ids()
    first_s = sorted(delays_s[0] for delays_s in context.delays_s)
    print("delays of the verdict:", [round(delay_s, 2) for delay_s in first_s])
    assert median(first_s) <= limit_s, first_s


@then("it alone is called silent, within {limit_s:g} seconds in each zone")
def then_called_in_each(context, limit_s):
    for zone, delays_s in zip(context.zones, context.delays_s, strict=True):
        assert zone.silent_ids() == {UPSTREAM_ID}, zone.silent_ids()
        assert delays_s[0] <= limit_s, context.delays_s


@then("no flow of another upstream was reset")
def then_no_wrong_reset(context):
    for zone in context.zones:
        assert zone.counts["resets"] > 0, zone.counts
        assert zone.counts["wrong_resets"] == 0, zone.counts


@then("no upstream is called silent")
def then_none_silent(context):
    for zone in context.zones:
        assert not zone.verdicts, zone.verdicts


@then("no flow was reset")
def then_none_reset(context):
    for zone in context.zones:
        assert zone.counts["resets"] == 0, zone.counts


@then("all 5 are called silent within {limit_s:g} seconds, and no other")
def then_five_silent(context, limit_s):
    expected = {f"i-{number}" for number in range(1, 6)}
    for zone, delays_s in zip(context.zones, context.delays_s, strict=True):
        assert zone.silent_ids() == expected, zone.silent_ids()
        assert max(delays_s) <= limit_s, delays_s


@then("the verdict ends because of progress within {limit_s:g} seconds")
def then_ends(context, limit_s):
    for zone, returned_at_s in zip(context.zones, context.returned_at_s, strict=True):
        ended_at_s, _, reason = zone.ended[0]
        assert reason is EndReason.PROGRESS, reason
        assert 0.0 <= ended_at_s - returned_at_s <= limit_s, ended_at_s - returned_at_s


@then("it is not called silent again in 5 seconds")
def then_not_again(context):
    for zone in context.zones:
        assert len(zone.verdicts) == 1, zone.verdicts


@then("it gets between {least:d} and {most:d} opening packets in the next 5 seconds")
def then_few_openings(context, least, most):
    for zone in context.zones:
        fake = zone.upstreams[UPSTREAM_ID]
        before = fake.openings
        zone.run_for(5.0)
        assert least <= fake.openings - before <= most, fake.openings - before


@then("upstream 1 alone is called silent within 4 more seconds")
def then_next_reader_judges(context):
    for zone in context.zones:
        assert zone.silent_ids() == {UPSTREAM_ID}, zone.silent_ids()


class JudgedUpstream:
    """A detector with upstreams 1 to 4, and reports of four hosts of upstream 1."""

    def __init__(self, zone="a"):
        self.now_s = 1000.0
        self.listed = {name: upstream(name) for name in "1234"}
        self.directory = UpstreamDirectory()
        self.observer = RecordingSilenceObserver()
        self.detector = SilentUpstreamDetector(
            ZoneId(zone), self.directory, self.observer
        )
        self.revision = 0
        self.progress_at_s = self.now_s
        self.apply_listing()

    def apply_listing(self):
        self.revision += 1
        listing = make_listing(self.revision, *self.listed.values())
        self.directory.apply(listing, self.now_s, 60.0)
        self.detector.update(self.now_s)

    def report(self):
        """Let four hosts report silence of upstream 1 and progress of the others."""
        silent = UpstreamReport(
            TAG,
            in_flight=3,
            unanswered=3,
            silent_flows=2,
            failed_openings=1,
            progress_age_ms=round(1000.0 * (self.now_s - self.progress_at_s)),
        )
        other = UpstreamReport(upstream_tag(UpstreamId("i-2")), progress_age_ms=10)
        for port in range(4):
            host = Address("10.0.0.1", 8000 + port)
            self.detector.add_report(host, (silent, other), self.now_s)
        self.detector.update(self.now_s)

    def report_for(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.now_s += 0.1
            self.report()


class RecordingSilenceObserver(NoOpShareObserver):
    """Records the verdicts and why they ended."""

    def __init__(self):
        self.silences = []
        self.end_reasons = []

    def upstream_silent(self, silence):
        self.silences.append(silence)

    def upstream_answers_again(self, silence, reason, now_s):
        self.end_reasons.append(reason)


@given("a detector that calls upstream 1 silent")
def given_verdict(context):
    context.judged = JudgedUpstream()
    context.judged.report_for(1.5)
    assert len(context.judged.observer.silences) == 1, context.judged.observer.silences


@given("a detector of another zone with all evidence against upstream 1")
def given_other_zone(context):
    context.judged = JudgedUpstream(zone="b")
    context.judged.report_for(1.5)


@given("a detector with all evidence against upstream 1 but the time")
def given_almost(context):
    context.judged = JudgedUpstream()
    context.judged.report_for(0.7)
    assert not context.judged.observer.silences


@when("upstream 1 is listed with a new lifetime")
def when_new_lifetime(context):
    judged = context.judged
    judged.listed["1"] = judged.listed["1"]._replace(started_ms=2)
    judged.apply_listing()


@when("upstream 1 is no longer listed")
def when_not_listed(context):
    del context.judged.listed["1"]
    context.judged.apply_listing()


@when("10 seconds pass without reports")
def when_no_reports(context):
    context.judged.now_s += 10.0
    context.judged.detector.update(context.judged.now_s)


@when("0.7 seconds pass in which the same reports arrive")
def when_same_reports(context):
    context.judged.report_for(0.7)


@then("its verdict has ended because of {reason}")
def then_ended(context, reason):
    judged = context.judged
    assert judged.observer.end_reasons == [EndReason(reason)]
    assert not judged.detector.silent_upstreams(judged.now_s)


@then("the detector calls nothing silent")
def then_nothing_silent(context):
    assert not context.judged.observer.silences, context.judged.observer.silences


@when("the reader of another zone is told that upstream 1 is silent")
def when_told(context):
    context.now_s = 1000.0
    directory = UpstreamDirectory()
    directory.apply(make_listing(1, upstream("1")), context.now_s, 60.0)
    context.evidence = ZoneEvidence(
        steering_settings("b", uses_zone_findings=True),
        Address("10.0.0.9", 8166),
        directory,
        UpstreamRecorder(True),
        FindingsView(),
        NoOpShareObserver(),
        ConfigView(),
    )
    silent = SilentUpstream(TAG, 1, 1500, None, 7)
    findings = ZoneFindings(silent=frozenset({TAG}), silent_upstreams=(silent,))
    context.evidence.set_foreign_findings(ZoneId("a"), findings, context.now_s)


@then("it passes the verdict on to its zone")
def then_passed_on(context):
    findings = context.evidence.update_findings(context.now_s)
    assert findings.silent == {TAG}, findings
    assert findings.silent_upstreams[0].started_ms == 1


@when("a host of that zone reports progress of upstream 1")
def when_progress_reported(context):
    context.now_s += 0.5
    report = (UpstreamReport(TAG, progress_age_ms=200),)
    context.evidence.add_report(Address("10.0.0.8", 8166), report, context.now_s)


@then("it no longer passes the verdict on")
def then_not_passed_on(context):
    findings = context.evidence.update_findings(context.now_s)
    assert not findings.silent and not findings.silent_upstreams, findings


def recorder_with_silent_flow(now_s):
    """A recorder that follows a request whose client has repeated it twice."""
    recorder = UpstreamRecorder(True)
    flow = Flow(flow_key(1), UPSTREAM_ID, 1, now_s)
    flow.state = FlowState.OPEN
    flow.asked_at_s = now_s
    flow.last_seen_s = now_s + 0.6
    flow.stalled_repeats = 2
    recorder.record_request(flow)
    return recorder


@when("a request is repeated twice and then not any more")
def when_given_up(context):
    context.recorder = recorder_with_silent_flow(1000.0)


@then("the flow is reported as silent, but not 2 seconds later")
def then_not_silent_later(context):
    (first,) = context.recorder.take_report(1000.8)
    (later,) = context.recorder.take_report(1002.8)
    assert (first.silent_flows, later.silent_flows) == (1, 0), (first, later)


@when("a recorder with a silent flow is suspended")
def when_suspended(context):
    context.recorder = recorder_with_silent_flow(1000.0)
    context.recorder.suspend()


@then("it reports nothing until it is resumed")
def then_nothing_until_resumed(context):
    assert context.recorder.take_report(1000.7) == ()
    context.recorder.resume()
    assert len(context.recorder.take_report(1000.8)) == 1
