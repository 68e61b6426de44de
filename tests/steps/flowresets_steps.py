"""Steps for the effect of a verdict on the flows and new flows of one host."""

from behave import given, then, when

from testbed.steeringparts import route_config, upstream
from tests.steeringharness import (
    SteeringHarness,
    established_packet,
    flow_key,
    opening_packet,
)
from wisteriatiller.ids import Address, FlowKey, Revision, ServiceId, StorePosition
from wisteriatiller.network import EventLoop
from wisteriatiller.platform.packets import FlowPacketCodec
from wisteriatiller.steering import (
    ConfigVersion,
    PacketKind,
    RefusalReason,
    RequestKind,
    Route,
    RouteConfig,
    ServiceAddress,
    UpstreamState,
    WeightedService,
)
from wisteriatiller.steering.datapath import DataPath, bind_data_socket
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import (
    EndReason,
    Silence,
    SilentUpstream,
    UpstreamRecorder,
    ZoneFindings,
)
from wisteriatiller.steering.packets import (
    FlowReset,
    Forward,
    Refuse,
    SilenceEvidence,
)
from wisteriatiller.steering.reporting import Reporter
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.snapshots import (
    Snapshot,
    SnapshotEncoder,
    decode_snapshot,
)
from wisteriatiller.steering.upstreams import NO_LISTING, upstream_tag
from wisteriatiller.telemetry import Counters, EventLog

READS = ServiceAddress(bytes((198, 18, 0, 1, 1, 187)))
ORDERS = ServiceAddress(bytes((198, 18, 0, 2, 1, 187)))
TAG = upstream_tag("i-1")
OWN_HOST = Address("10.0.0.1", 8166)
OTHER_HOST = Address("10.0.0.2", 8166)
RETURN_PORT = 8172
LOOPBACK_IP = "127.0.0.1"
SOCKET_TIMEOUT_S = 2.0
# Numbers of flows.
IDLE_READ, IDLE_ORDER, PENDING_READ, PENDING_ORDER, OLD, FOREIGN = range(1, 7)


class SilentHost(SteeringHarness):
    """A host with flows of upstream 1, which the findings then call silent."""

    def __init__(self):
        services = (WeightedService(ServiceId("stock"), 1.0),)
        routes = (
            Route("reads", READS, services, RequestKind.IDEMPOTENT),
            Route("orders", ORDERS, services, RequestKind.NON_IDEMPOTENT),
        )
        config = RouteConfig(ConfigVersion(1), routes, 15_000)
        super().__init__(config=config, upstreams=[upstream("1")])

    def send(self, number, address, **changes):
        """Steer a packet of an open flow."""
        fields = {"flow": flow_key(number, address), "service_address": address}
        return self.steer(established_packet(number, TAG, **fields, **changes))

    def open_and_ask(self, number, address):
        """Open a flow with a first request of 100 bytes."""
        self.steer(opening_packet(number, address=address))
        self.send(number, address, sequence=1)

    def answer(self, number, address):
        """Let the client acknowledge an answer of 500 bytes."""
        self.send(number, address, sequence=101, acknowledged=501, payload_bytes=0)

    def open_idle(self, number, address):
        self.open_and_ask(number, address)
        self.answer(number, address)

    def set_verdict(self, silent_ms=1500, trial_host=None, trial_number=1):
        silent = SilentUpstream(TAG, 1, silent_ms, trial_host, trial_number)
        findings = ZoneFindings(silent=frozenset({TAG}), silent_upstreams=(silent,))
        self.steering.findings.set(findings, self.now_s)

    def take_resets(self):
        return self.steering.take_resets(self.now_s)


@given("a host with flows of a silent upstream")
def given_flows(context):
    host = context.host = SilentHost()
    host.open_idle(OLD, READS)
    host.now_s += 14.0
    host.open_idle(IDLE_READ, READS)
    host.open_idle(IDLE_ORDER, ORDERS)
    host.open_and_ask(PENDING_READ, READS)
    host.open_and_ask(PENDING_ORDER, ORDERS)
    host.now_s += 2.0
    # The routers move a flow of another host here.
    host.send(FOREIGN, READS)
    host.set_verdict()


@given("a host with {count:d} idle flows of a silent upstream")
def given_many_flows(context, count):
    context.host = SilentHost()
    for number in range(count):
        context.host.open_idle(number, READS)
    context.host.now_s += 2.0
    context.host.set_verdict()


@when("the next resets are taken")
def when_resets_taken(context):
    context.resets = context.host.take_resets()


@then("the idle flows and the pending idempotent one are reset")
def then_reset(context):
    found = {(reset.flow, reset.sequence) for reset in context.resets}
    expected = {
        (flow_key(IDLE_READ, READS), 501),
        (flow_key(IDLE_ORDER, ORDERS), 501),
        (flow_key(PENDING_READ, READS), 1),
    }
    assert expected <= found, found
    assert context.host.observer.events.count(
        ("flow_reset", flow_key(IDLE_READ, READS))
    )


@then("the pending non-idempotent, old and foreign flows are not")
def then_not_reset(context):
    assert len(context.resets) == 3, context.resets


def check_refused(decision):
    assert isinstance(decision, Refuse), decision
    assert decision.reason is RefusalReason.UPSTREAM_SILENT
    assert decision.evidence.upstream_id == "i-1"


def send_new_order(host):
    return host.send(IDLE_ORDER, ORDERS, sequence=101, acknowledged=501)


@then("a new request on the idle non-idempotent flow is refused")
def then_new_refused(context):
    check_refused(send_new_order(context.host))


@then("a new request on the idle non-idempotent flow is forwarded")
def then_new_forwarded(context):
    assert isinstance(send_new_order(context.host), Forward)


@then("a repeat of the pending idempotent request is refused")
def then_repeat_refused(context):
    check_refused(context.host.send(PENDING_READ, READS, sequence=1))


@then("a repeat of the pending non-idempotent request is forwarded")
def then_repeat_forwarded(context):
    decision = context.host.send(PENDING_ORDER, ORDERS, sequence=1)
    assert isinstance(decision, Forward), decision


@then("more data of the pending non-idempotent request is forwarded")
def then_more_data_forwarded(context):
    decision = context.host.send(PENDING_ORDER, ORDERS, sequence=101)
    assert isinstance(decision, Forward), decision


@then("a packet that closes an idle flow is forwarded")
def then_close_forwarded(context):
    decision = context.host.send(
        IDLE_READ, READS, sequence=101, payload_bytes=0, kind=PacketKind.CLOSING
    )
    assert isinstance(decision, Forward), decision


@then("data of a flow that the host has not seen open is forwarded")
def then_unknown_forwarded(context):
    decision = context.host.send(99, READS, sequence=700)
    assert isinstance(decision, Forward), decision


@when("a packet of the pending non-idempotent flow acknowledges new data")
def when_progress(context):
    context.host.answer(PENDING_ORDER, ORDERS)


@when("the host learns that upstream 1 has a new lifetime")
def when_host_learns_lifetime(context):
    context.host.apply_listing(upstream("1", started_ms=2))


@when("the host learns that upstream 1 is draining")
def when_host_learns_draining(context):
    context.host.apply_listing(upstream("1", state=UpstreamState.DRAINING))


@when("{duration_s:g} seconds pass without findings")
def when_no_findings(context, duration_s):
    context.host.now_s += duration_s


@then("no flow is reset")
def then_no_reset(context):
    assert not context.host.take_resets()


@then("{count:d} flows are reset in each of {steps:d} steps, and none after")
def then_steps(context, count, steps):
    taken = []
    for _ in range(steps + 1):
        taken.append(len(context.host.take_resets()))
        context.host.now_s += 0.1
    assert taken == [count] * steps + [0], taken


@when("2 steps of resets are taken and the verdict ends")
def when_verdict_ends(context):
    for _ in range(2):
        assert len(context.host.take_resets()) == 200
        context.host.now_s += 0.1
    context.host.steering.findings.set(ZoneFindings(), context.host.now_s)


@given(
    "{count:d} upstreams of which the first is silent, and this host {named} for its "
    "trial"
)
def given_silent(context, count, named):
    given_silent_upstream(context, count, OWN_HOST)


@given("{count:d} upstreams of which the first is silent, and this host not named")
def given_silent_not_named(context, count):
    given_silent_upstream(context, count, OTHER_HOST)


def given_silent_upstream(context, count, trial_host):
    listed = [upstream(str(number)) for number in range(1, count + 1)]
    context.host = SteeringHarness(
        config=route_config(1, ("stock", 1.0)), upstreams=listed
    )
    context.trial = SilentUpstream(TAG, 1, 1500, trial_host, 1)
    context.flow_number = 0


@when("{count:d} flows are opened in {duration_s:g} seconds")
def when_flows_opened(context, count, duration_s):
    host = context.host
    context.decisions = []
    host.observer.events.clear()
    for _ in range(count):
        host.now_s += duration_s / count
        findings = ZoneFindings(
            silent=frozenset({TAG}), silent_upstreams=(context.trial,)
        )
        host.steering.findings.set(findings, host.now_s)
        context.flow_number += 1
        decision = host.steer(opening_packet(context.flow_number))
        context.decisions.append(decision.upstream.upstream_id)
        if decision.upstream.upstream_id != "i-1":
            host.steer(established_packet(context.flow_number, decision.tag))


@when("the next trial names another host and {count:d} flows are opened in 2 seconds")
def when_other_named(context, count):
    context.trial = context.trial._replace(trial_host=OTHER_HOST, trial_number=2)
    when_flows_opened(context, count, 2.0)


@then("exactly one of them went to the silent upstream, as silent_trial")
def then_one_trial(context):
    assert context.decisions.count("i-1") == 1, context.decisions
    opened = [event for event in context.host.observer.events if event[0] == "opened"]
    assert ("opened", "i-1", "silent_trial") in opened, opened


@then("none of them went to the silent upstream")
def then_no_trial(context):
    assert "i-1" not in context.decisions, context.decisions


@then("all of them went to the silent upstream")
def then_all_went(context):
    assert set(context.decisions) == {"i-1"}, context.decisions


@when("findings with a silent upstream are encoded and decoded")
def when_encoded(context):
    silent = SilentUpstream(TAG, 1_790_000_000_123, 1234, OWN_HOST, 77)
    context.findings = ZoneFindings(
        silent=frozenset({TAG}),
        silent_upstreams=(silent, silent._replace(trial_host=None)),
    )
    position = StorePosition(1, Revision(1))
    snapshot = Snapshot(
        config_version=ConfigVersion(1),
        config=None,
        config_age_s=None,
        listing_version=NO_LISTING,
        newest_position=position,
        listing_delta=None,
        listing_age_s=None,
        listing_confirmed_age_s=None,
        store_healthy_s=0.0,
        is_fresh=True,
        has_lost_store=False,
        reader=None,
        peers=(),
        findings=context.findings,
        evacuations=None,
    )
    context.decoded = decode_snapshot(SnapshotEncoder().encode(snapshot)).findings


@then("they are equal")
def then_equal(context):
    assert context.decoded == context.findings, context.decoded


@when("the reset of flow 100.64.0.7:40001>198.18.0.1:443 at {sequence:d} is encoded")
def when_reset_encoded(context, sequence):
    flow = bytes.fromhex("64400007 9c41 c6120001 01bb")
    context.reset = FlowPacketCodec(RETURN_PORT).encode_flow_reset(flow, sequence)


@then("it has no data, sum 0, sequence {sequence:d} and goes to {ip}")
def then_reset_encoded(context, sequence, ip):
    data, address = context.reset
    expected = bytes.fromhex(
        "00000000 c6120001 01bb 64400007 9c41 0000"
        f"{sequence:08x} 00000000 40 00 00000000"
    )
    assert data == expected, data.hex()
    assert address == Address(ip, RETURN_PORT)


class DataPathWithClient:
    """A data path on a loopback socket, and a client's socket for resets."""

    def __init__(self):
        self.client = bind_data_socket(Address(LOOPBACK_IP, 0))
        self.client.settimeout(SOCKET_TIMEOUT_S)
        return_port = self.client.getsockname()[1]
        self.loop = EventLoop()
        self.steering = SteeringHarness(upstreams=[upstream("1")]).steering
        self.steering.recorder = recorder_of_one_opening()
        self.path = DataPath(
            self.loop,
            bind_data_socket(Address(LOOPBACK_IP, 0)),
            FlowPacketCodec(return_port),
            self.steering,
            Counters(),
        )
        self.path.start()

    def close(self):
        self.path.close()
        self.client.close()


def recorder_of_one_opening():
    recorder = UpstreamRecorder(True)
    recorder.record_opening("i-1")
    return recorder


@given("a data path on a loopback socket, and a flow of a silent upstream")
def given_data_path(context):
    context.data = DataPathWithClient()
    context.add_cleanup(context.data.close)


@when("the data path sends the resets")
def when_data_path_sends(context):
    flow = FlowKey(bytes((127, 0, 0, 1, 0x9C, 0x41)) + READS)
    context.data.path.send_resets([FlowReset(flow, 501, evidence=None)])


@then("the client receives the reset of its flow")
def then_client_receives(context):
    data = context.data.client.recv(2000)
    expected = bytes.fromhex("00000000 c6120001 01bb 7f000001 9c41 0000 000001f5")
    assert data.startswith(expected), data.hex()


@when("the data path is suspended and a packet arrives")
def when_suspended_with_packet(context):
    path = context.data.path
    path.suspend()
    context.data.client.sendto(b"malformed", path.address)


@then("its host reports nothing until the packet is read")
def then_reports_after_read(context):
    data = context.data
    assert data.path.is_behind
    assert data.steering.recorder.take_report(0.0) == ()
    data.path.start()
    data.loop.run_once()
    assert not data.path.is_behind
    assert len(data.steering.recorder.take_report(0.0)) == 1


class RecordingLog(EventLog):
    """Keeps the fields of each event."""

    def __init__(self):
        self.lines = []

    def event(self, name, **pairs):
        self.lines.append({"event": name, **pairs})

    def flow_event(self, name, **pairs):
        self.event(name, **pairs)


@given("a reporter that is told of a verdict, a reset, a refusal and the verdict's end")
def given_reporter(context):
    context.log, context.counters = RecordingLog(), Counters()
    reporter = Reporter(
        context.log, context.counters, ConfigView(), UpstreamDirectory(), lambda: 1002.0
    )
    silence = Silence(
        tag=TAG,
        upstream_id="i-1",
        service=ServiceId("stock"),
        started_ms=77,
        quiet_since_s=1000.0,
        decided_at_s=1001.2,
        hosts=3,
        flows=4,
        failed_openings=5,
    )
    evidence = SilenceEvidence("i-1", 77, 1.6, float("inf"), None)
    reporter.upstream_silent(silence)
    reporter.flow_reset(FlowReset(flow_key(1), 501, evidence))
    refusal = Refuse(RefusalReason.UPSTREAM_SILENT, evidence)
    reporter.packet_refused(established_packet(2, TAG), refusal)
    reporter.upstream_answers_again(silence, EndReason.PROGRESS, 1002.0)


def lines_of(context, event):
    return [line for line in context.log.lines if line["event"] == event]


@then("the lines of the reset and the refusal name the upstream and its lifetime")
def then_lines_name(context):
    lines = lines_of(context, "flow_refused")
    assert [line["kind"] for line in lines] == ["unasked", "established"], lines
    for line in lines:
        assert (line["upstream"], line["started_ms"]) == ("i-1", 77), line
        assert line["reason"] == "upstream_silent", line
        assert line["own_silent_ms"] == "never" and line["pending_ms"] == "none", line


@then("the line of the verdict with the same upstream and lifetime has the evidence")
def then_verdict_line(context):
    (line,) = lines_of(context, "upstream_silent")
    assert (line["upstream"], line["started_ms"]) == ("i-1", 77), line
    assert (line["hosts"], line["flows"], line["silent_ms"]) == (3, 4, 1200), line


@then("the line of its end has reason {reason}")
def then_end_line(context, reason):
    (line,) = lines_of(context, "upstream_answers_again")
    assert line["reason"] == reason and line["silent_ms"] == 2000, line


@then("the counters hold {count:d} flows_reset_silent")
def then_counters(context, count):
    text = context.counters.render()
    values = [
        int(line.rpartition(" ")[2])
        for line in text.splitlines()
        if "flows_reset_silent" in line
    ]
    assert sum(values) == count, text
