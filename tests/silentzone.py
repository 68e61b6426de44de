"""A simulated zone of hosts, clients and upstreams that may stop responding.

The hosts run the real steering and evidence on virtual time and report to one reader,
each at its own phase. Clients and upstreams are fakes.
"""

import random
from collections import Counter, deque
from enum import Enum

from testbed.steeringparts import (
    NoOpShareObserver,
    VirtualScheduler,
    steering_settings,
    upstream,
)
from tests.steeringharness import RecordingObserver, make_listing
from wisteriatiller.ids import FlowKey, ServiceId
from wisteriatiller.steering import (
    ConfigVersion,
    Packet,
    PacketKind,
    RequestKind,
    Route,
    RouteConfig,
    ServiceAddress,
    WeightedService,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import ZoneEvidence
from wisteriatiller.steering.packets import Forward, Refuse
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import NO_TAG

HOSTS = 40
REPORT_INTERVAL_S = 0.6
RESET_STEP_S = 0.1
LINK_S = 0.0025
OPENING_TIMES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
REPEAT_TIMES_S = (0.2, 0.6, 1.4)
REQUEST_BYTES = 200
ANSWER_BYTES = 500
IDEMPOTENT = ServiceAddress(bytes((198, 18, 0, 1, 1, 187)))
NON_IDEMPOTENT = ServiceAddress(bytes((198, 18, 0, 2, 1, 187)))
TARGET_S = 0.553
DEADLINE_S = 2.766
MAX_RETRIES = 2
REQUESTS_PER_LONG_FLOW = 2.4
# Mean time between the requests of a flow. An upstream then has about a dozen idle
# flows; the users' runs lost 14 to 18 requests for each upstream that vanished.
THINK_S = 2.0
# The fraction of requests that are idempotent and on long flows, as on Pecan Bayou. The
# others are on flows of one request each.
LONG_FRACTION = 0.75


class Mode(Enum):
    """How a fake upstream behaves."""

    NORMAL = "normal"
    VANISHED = "vanished"
    # The process has ended, and its machine resets every flow whose packets arrive.
    ENDED = "ended"
    MUTE = "mute"
    AT_LIMIT = "at limit"


class FakeUpstream:
    """Serves requests on two slots; what does not fit into its queue gets a 503."""

    SLOTS = 2

    def __init__(self, zone, name):
        self._zone = zone
        self.name = name
        self.mode = Mode.NORMAL
        self.service_s = 0.055
        self.max_queue = 8
        self.resets_unknown_flows = False
        self._busy = 0
        self._queue = deque()
        self.flows = set()
        self.requests = 0
        self.openings = 0

    def receive_opening(self, flow):
        self.openings += 1
        if self.mode is Mode.ENDED:
            self._zone.later(LINK_S, flow.reset_by_upstream)
        elif self.mode not in (Mode.VANISHED, Mode.AT_LIMIT):
            self.flows.add(flow)
            self._zone.later(LINK_S, flow.opened, self)

    def receive_request(self, flow, number):
        """Serve a request once, although its packet may be repeated."""
        if self.resets_unknown_flows and flow not in self.flows:
            self._zone.later(LINK_S, flow.reset_by_upstream)
            return
        if self.mode is Mode.VANISHED or flow not in self.flows:
            return
        if number in flow.received:
            return
        flow.received.add(number)
        self.requests += 1
        if self.mode is Mode.MUTE and self._zone.random.random() < 0.4:
            return
        if len(self._queue) >= self.max_queue:
            self._zone.later(LINK_S, flow.answered, number, False)
            return
        self._queue.append((flow, number))
        self._serve_next()

    def keep_busy(self, requests):
        """Add requests of elsewhere, each of which is followed by another one."""
        self._queue.extend([None] * requests)
        self._serve_next()

    def end(self):
        """End the process; its machine, and the next process, know no flow of it."""
        self.mode = Mode.ENDED
        self.flows.clear()
        self._queue.clear()
        self.resets_unknown_flows = True

    def restart(self):
        """Begin a new lifetime without the flows of the former one."""
        self.mode = Mode.NORMAL
        self.flows.clear()
        self._queue.clear()
        self._busy = 0

    def resume(self):
        """Go on as if the process had been stopped, with what it had begun."""
        self.mode = Mode.NORMAL
        self._busy = 0
        for _ in range(self.SLOTS):
            self._serve_next()

    def _serve_next(self):
        if self._busy < self.SLOTS and self._queue:
            self._busy += 1
            job = self._queue.popleft()
            spread = self._zone.random.uniform(0.7, 1.3)
            self._zone.later(self.service_s * min(spread, 1.0), self._finish, job)

    def _finish(self, job):
        if self.mode in (Mode.VANISHED, Mode.ENDED):
            return
        self._busy = max(0, self._busy - 1)
        if job is None:
            self._queue.append(None)
        else:
            flow, number = job
            self._zone.later(LINK_S, flow.answered, number, True)
        self._serve_next()


class ClientRequest:
    """A request of a client, with its retries on new flows."""

    def __init__(self, zone, address):
        self.zone = zone
        self.address = address
        self.asked_at_s = zone.now_s()
        self.retries = 0
        self.is_done = False
        zone.counts["asked"] += 1
        zone.later(DEADLINE_S, self.expire)

    def answered(self, is_served):
        if self.is_done:
            return
        if not is_served:
            self.retry(may_have_run=False)
            return
        self.is_done = True
        waited_s = self.zone.now_s() - self.asked_at_s
        self.zone.counts["in_time" if waited_s <= TARGET_S else "late"] += 1

    def retry(self, may_have_run):
        if self.is_done:
            return
        is_allowed = self.address == IDEMPOTENT or not may_have_run
        if not is_allowed or self.retries >= MAX_RETRIES:
            self.is_done = True
            self.zone.counts["failed"] += 1
            return
        self.retries += 1
        ClientFlow(self.zone, self.address, self)

    def expire(self):
        if not self.is_done:
            self.is_done = True
            self.zone.counts["expired"] += 1


class ClientFlow:
    """A client's side of one flow, on one host; begins with its first request."""

    def __init__(self, zone, address, request):
        self.zone = zone
        self.address = address
        self.request = request
        self.number = zone.next_flow()
        client = bytes((100, 64, self.number >> 8 & 255, self.number & 255))
        self.key = FlowKey(client + (40_000).to_bytes(2, "big") + address)
        self.host = zone.random.choice(zone.hosts)
        zone.client_flows[self.key] = self
        self.upstream = None
        self.tag = NO_TAG
        self.sequence = 5000
        self.acknowledged = 0
        self.asked = 0
        self.received = set()
        self.is_closed = False
        for copy, at_s in enumerate(OPENING_TIMES_S):
            zone.later(at_s, self._send_opening, copy)
        zone.later(OPENING_LIMIT_S, self._give_up_opening)

    def opened(self, upstream):
        if self.is_closed or self.upstream is not None:
            return
        self.upstream = upstream
        self.tag = self.zone.tag_of(upstream)
        self.acknowledged = 1
        self._ask()

    def answered(self, number, is_served):
        if self.is_closed or number != self.asked:
            return
        self.acknowledged += ANSWER_BYTES
        request, self.request = self.request, None
        request.answered(is_served)
        self._send(PacketKind.ESTABLISHED, self.sequence, 0)
        is_long = self.address == IDEMPOTENT
        goes_on = self.zone.random.random() < 1.0 - 1.0 / self.zone.requests_per_flow
        if is_long and goes_on and self.upstream not in self.zone.quiet:
            self.zone.later(
                self.zone.random.expovariate(1.0 / THINK_S), self._ask_again
            )
        elif self.upstream not in self.zone.quiet:
            self.close()

    def reset(self):
        """The client receives a reset from a host."""
        if self.is_closed:
            return
        self.zone.counts["resets"] += 1
        is_wrong = self.upstream is not None and self.upstream.mode is Mode.NORMAL
        self.zone.counts["wrong_resets"] += is_wrong
        self.reset_by_upstream()

    def reset_by_upstream(self):
        if self.is_closed:
            return
        self.is_closed = True
        request, self.request = self.request, None
        if request is not None:
            has_run = self.upstream is not None and self.asked in self.forwarded()
            request.retry(may_have_run=has_run)

    def forwarded(self):
        return self.zone.forwarded.get(self.key, ())

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            self._send(PacketKind.CLOSING, self.sequence, 0)

    def _give_up_opening(self):
        if self.upstream is None and not self.is_closed:
            self.is_closed = True
            self.request.retry(may_have_run=False)

    def _ask_again(self):
        if self.is_closed or self.upstream in self.zone.quiet:
            return
        self.request = ClientRequest(self.zone, self.address)
        self._ask()

    def _ask(self):
        self.asked += 1
        first = self.sequence
        self.sequence += REQUEST_BYTES
        self._send_request(self.asked, first)
        for at_s in REPEAT_TIMES_S:
            self.zone.later(at_s, self._repeat, self.asked, first)
        self.zone.later(DEADLINE_S, self._abandon, self.asked)

    def _repeat(self, number, first):
        if number == self.asked and self.request is not None and not self.is_closed:
            self._send_request(number, first)

    def _abandon(self, number):
        if number == self.asked and self.request is not None and not self.is_closed:
            self.is_closed = True
            self._send(PacketKind.ABORTING, self.sequence, 0)

    def _send_request(self, number, first):
        self._send(PacketKind.ESTABLISHED, first, REQUEST_BYTES, number)

    def _send_opening(self, copy):
        if self.upstream is None and not self.is_closed:
            self._send(PacketKind.OPENING, self.sequence, 0, copy)

    def _send(self, kind, sequence, payload_bytes, number=0):
        is_opening = kind is PacketKind.OPENING
        packet = Packet(
            flow=self.key,
            service_address=self.address,
            kind=kind,
            tag=NO_TAG if is_opening else self.tag,
            sequence=sequence,
            acknowledged=number if is_opening else self.acknowledged,
            payload_bytes=payload_bytes,
            retransmit_count=number if is_opening else 0,
        )
        self.zone.later(LINK_S, self.host.receive, packet, self, number)


class ZoneHost:
    """A host: real steering and evidence, and its exchange with the reader."""

    def __init__(self, zone, number):
        self._zone = zone
        self.settings = steering_settings(
            "a", f"host-{number}", number, uses_zone_findings=zone.uses_findings
        )
        self.address = self.settings.control_listen
        self.start()
        self.backlog = None
        # Whether its packets reach upstreams, and its reports the reader.
        self.is_cut_from_upstreams = False
        self.is_cut_from_reader = False

    def start(self):
        """Begin without any state, as after a restart."""
        self.observer = RecordingObserver()
        self.steering = FlowSteering(
            self.settings, self._zone.directory, self._zone.config, self.observer
        )
        self.evidence = ZoneEvidence(
            self.settings,
            self.address,
            self._zone.directory,
            self.steering.recorder,
            self.steering.findings,
            self._zone,
            ConfigView(),
        )

    def receive(self, packet, flow, number):
        if self.backlog is not None:
            self.backlog.append((packet, flow, number))
            return
        decision = self.steering.steer(packet, self._zone.now_s())
        if isinstance(decision, Refuse):
            self._zone.later(LINK_S, flow.reset)
        elif isinstance(decision, Forward) and not self.is_cut_from_upstreams:
            self._zone.forward(decision.upstream.upstream_id, packet, flow, number)

    def cut_from_upstreams(self):
        self.is_cut_from_upstreams = True

    def rejoin_reader(self):
        self.is_cut_from_reader = False

    def pause(self):
        self.backlog = []
        self.steering.recorder.suspend()

    def resume(self):
        backlog, self.backlog = self.backlog, None
        for packet, flow, number in backlog:
            self.receive(packet, flow, number)
        self.steering.recorder.resume()

    def share(self):
        self._zone.later(REPORT_INTERVAL_S, self.share)
        if self.backlog is not None:
            return
        now_s = self._zone.now_s()
        if self._zone.reader is self:
            self.evidence.update_findings(now_s)
            return
        report = self.evidence.take_report(now_s)
        self._zone.deliver_report(self, report)

    def send_resets(self):
        self._zone.later(RESET_STEP_S, self.send_resets)
        if self.backlog is not None:
            return
        for reset in self.steering.take_resets(self._zone.now_s()):
            flow = self._zone.client_flows[reset.flow]
            assert abs(reset.sequence - flow.acknowledged) <= 76_800
            self._zone.later(LINK_S, flow.reset)


class SilentZone(NoOpShareObserver):
    """Hosts, upstreams and clients of one zone, on virtual time."""

    def __init__(
        self,
        seed,
        upstreams=20,
        rate_per_upstream=13.0,
        long_fraction=LONG_FRACTION,
        requests_per_flow=REQUESTS_PER_LONG_FLOW,
        uses_findings=True,
    ):
        self.random = random.Random(seed)
        self.uses_findings = uses_findings
        self.scheduler = VirtualScheduler()
        self.directory = UpstreamDirectory()
        self.config = ConfigView()
        self.counts = Counter()
        self.client_flows = {}
        self.forwarded = {}
        # Upstreams whose clients send no further requests.
        self.quiet = set()
        self.verdicts = []
        self.ended = []
        # Fractions of the reports that are lost, delayed and delivered twice.
        self.lost = self.delayed = self.repeated = 0.0
        self._flow_number = 0
        rate = upstreams * rate_per_upstream
        # A long flow asks for the rest of its requests itself.
        self.requests_per_flow = requests_per_flow
        self._long_flows_per_s = rate * long_fraction / requests_per_flow
        self._short_flows_per_s = rate * (1.0 - long_fraction)
        self.is_asking = True
        self.listed = {
            name: upstream(name, slots=FakeUpstream.SLOTS)
            for name in map(str, range(1, upstreams + 1))
        }
        self.upstreams = {
            made.upstream_id: FakeUpstream(self, name)
            for name, made in self.listed.items()
        }
        self._revision = 0
        self.apply_listing()
        self.config.apply(_config())
        self.config.confirm(self.now_s())
        self.hosts = [ZoneHost(self, number + 1) for number in range(HOSTS)]
        self.reader = self.hosts[0]
        for host in self.hosts:
            self.later(self.random.uniform(0.0, REPORT_INTERVAL_S), host.share)
            self.later(self.random.uniform(0.0, RESET_STEP_S), host.send_resets)
        self._open_first_flows(rate * long_fraction)
        self._ask()

    def now_s(self):
        return self.scheduler.now_s()

    def later(self, delay_s, callback, *arguments):
        self.scheduler.call_later(delay_s, lambda: callback(*arguments))

    def run_for(self, duration_s):
        self.scheduler.run_for(duration_s)

    def next_flow(self):
        self._flow_number += 1
        return self._flow_number

    def tag_of(self, fake):
        return self.directory.get(f"i-{fake.name}").tag

    def apply_listing(self):
        self._revision += 1
        listing = make_listing(self._revision, *self.listed.values())
        changes = self.directory.apply(listing, self.now_s(), 60.0).changes
        for host in getattr(self, "hosts", ()):
            host.steering.apply_directory_changes(changes)

    def change_listing(self, name, **changes):
        self.listed[name] = self.listed[name]._replace(**changes)
        self.apply_listing()

    def remove_from_listing(self, numbers):
        """Remove the entries of upstreams that have sent no heartbeat."""
        for number in numbers:
            del self.listed[str(number)]
        self.apply_listing()

    def change_reader(self):
        """Let the next host read, as if the present reader had died."""
        self.reader = self.hosts[1]

    def forward(self, upstream_id, packet, flow, number):
        fake = self.upstreams[upstream_id]
        if packet.kind is PacketKind.OPENING:
            self.later(LINK_S, fake.receive_opening, flow)
        elif packet.payload_bytes:
            self.forwarded.setdefault(packet.flow, set()).add(number)
            self.later(LINK_S, fake.receive_request, flow, number)

    def deliver_report(self, host, report):
        if host.is_cut_from_reader or self.reader.backlog is not None:
            return
        if self.random.random() < self.lost:
            return
        delay_s = LINK_S
        if self.random.random() < self.delayed:
            delay_s = self.random.uniform(0.05, 0.5)
        copies = 2 if self.random.random() < self.repeated else 1
        for copy in range(copies):
            self.later(delay_s + 0.2 * copy, self._receive_report, host, report)

    def _receive_report(self, host, report):
        reader, now_s = self.reader, self.now_s()
        if reader.backlog is not None:
            return
        reader.evidence.add_report(host.address, report, now_s)
        findings = reader.evidence.update_findings(now_s)
        self.later(LINK_S, self._apply, host, findings)

    def _apply(self, host, findings):
        if host.backlog is None:
            host.evidence.apply_findings(findings, self.now_s())

    def _open_first_flows(self, long_requests_per_s):
        """Begin with as many long flows as stay open at the rate of requests."""
        repeated_per_s = long_requests_per_s * (1.0 - 1.0 / self.requests_per_flow)
        for _ in range(round(repeated_per_s * THINK_S)):
            self.later(self.random.uniform(0.0, THINK_S), self._open_flow, IDEMPOTENT)

    def _open_flow(self, address):
        ClientFlow(self, address, ClientRequest(self, address))

    def _ask(self):
        rate = self._long_flows_per_s + self._short_flows_per_s
        if self.is_asking:
            is_long = self.random.random() < self._long_flows_per_s / rate
            self._open_flow(IDEMPOTENT if is_long else NON_IDEMPOTENT)
        self.later(self.random.expovariate(rate), self._ask)

    def upstream_silent(self, silence):
        self.verdicts.append(silence)

    def upstream_answers_again(self, silence, reason, now_s):
        self.ended.append((now_s, silence, reason))

    def silent_ids(self):
        return {silence.upstream_id for silence in self.verdicts}


def _config():
    services = (WeightedService(ServiceId("stock"), 1.0),)
    routes = (
        Route("reads", IDEMPOTENT, services, RequestKind.IDEMPOTENT),
        Route("orders", NON_IDEMPOTENT, services, RequestKind.NON_IDEMPOTENT),
    )
    return RouteConfig(ConfigVersion(1), routes, 15_000)
