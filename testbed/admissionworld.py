"""A service under more load than it bears: clients, hosts and upstreams, no network.

Clients open flows at a given rate, whatever becomes of them. Hosts steer the packets
with the real ``FlowSteering`` and exchange real reports and findings, at the intervals
at which they do so in a deployment::

    world = AdmissionWorld(WorldSizes(), seed=1)
    world.run(10.0, demand=2.6)
    print(world.tally.value_share)
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from wisteriatiller.ids import Address, FlowKey, ServiceId, UpstreamId
from wisteriatiller.steering import (
    ConfigVersion,
    Forward,
    PacketKind,
    Refuse,
    RequestKind,
    Route,
    RouteConfig,
    ServiceAddress,
    Upstream,
    WeightedService,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import ZoneEvidence
from wisteriatiller.steering.listingpages import single_page
from wisteriatiller.steering.packets import RefusalReason
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering
from wisteriatiller.steering.upstreams import Listing, Tag, upstream_tag

from .flowworld import SilentObserver
from .steeringparts import (
    COPY_TIMES_S,
    OPENING_LIMIT_S,
    NoOpShareObserver,
    VirtualScheduler,
    client_packet,
    steering_settings,
    upstream as make_upstream,
)

SERVICE = ServiceId("build")
ROUND_TRIP_S = 0.008
RETRY_PAUSE_S = 0.02
MAX_RETRIES = 2
QUEUE_PER_SLOT = 4
WORK_SPREAD = 0.5
REQUEST_BYTES = 100
RESPONSE_BYTES = 2000
SHARE_INTERVAL_S = 0.6
# How long the hosts take to notice that an upstream answers nobody.
SILENCE_DETECTION_S = 1.2


class RequestType(NamedTuple):
    """One kind of requests; ``share`` is its part of all requests."""

    name: str
    kind: RequestKind
    priority: int
    share: float
    work_s: float
    target_s: float
    deadline_s: float
    value: float
    late_value: float
    requests_per_flow: float


# What may become of a request in the end.
OUTCOMES = ("in time", "late", "rejected", "refused", "unopened", "timed out")

# The types of the build farm, see docs/hard-load.md.
REQUEST_TYPES = (
    RequestType(
        "idempotent",
        RequestKind.IDEMPOTENT,
        1,
        0.7287,
        0.055,
        0.553,
        2.766,
        1.0,
        0.3,
        2.4,
    ),
    RequestType(
        "non-idempotent",
        RequestKind.NON_IDEMPOTENT,
        0,
        0.2088,
        0.072,
        0.652,
        3.26,
        2.0,
        0.6,
        1.0,
    ),
    RequestType(
        "upload", RequestKind.UPLOAD, 2, 0.0625, 0.005, 1.345, 6.725, 1.0, 0.3, 1.0
    ),
)


class WorldSizes(NamedTuple):
    """An installation: its zones, hosts and upstreams, and the types of requests."""

    zones: int = 3
    hosts_per_zone: int = 4
    upstreams_per_zone: int = 8
    slots: int = 2
    types: tuple[RequestType, ...] = REQUEST_TYPES
    has_limits: bool = True
    uses_admission: bool = True

    @property
    def capacity_per_s(self) -> float:
        """Requests of the usual mix that the upstreams can answer in a second."""
        work_s = sum(kind.share * kind.work_s for kind in self.types)
        share = sum(kind.share for kind in self.types)
        return self.zones * self.upstreams_per_zone * self.slots * share / work_s


class Tally:
    """What became of the requests that began while it was in use."""

    def __init__(self):
        self.counts: Counter[tuple[str, str]] = Counter()
        # First opening packets of idempotent flows by half second and zone, and those
        # of them that were refused for overload.
        self.asked: Counter[tuple[int, int]] = Counter()
        self.refused: Counter[tuple[int, int]] = Counter()
        self.earned = 0.0
        self.possible = 0.0

    @property
    def value_share(self) -> float:
        """The value of the answers as a fraction of that of all requests."""
        return self.earned / self.possible if self.possible else 1.0

    def total(self, outcome: str) -> int:
        return sum(
            number for (_, found), number in self.counts.items() if found == outcome
        )

    def in_time_share(self, name: str) -> float:
        """The part of the requests of a type that was answered within its target."""
        outcomes = {
            found: number
            for (kind, found), number in self.counts.items()
            if kind == name and found in OUTCOMES
        }
        return outcomes.get("in time", 0) / max(1, sum(outcomes.values()))

    def refused_share(self, zone: int) -> float:
        """The mean over all moments of the refused part of a zone's new flows."""
        moments = {moment for moment, _ in self.asked}
        shares = [
            self.refused[moment, zone] / self.asked[moment, zone]
            for moment in moments
            if self.asked[moment, zone]
        ]
        return sum(shares) / max(1, len(shares))


class InformedEvidence(ZoneEvidence):
    """Also knows the silent upstreams that the detectors of all zones have found."""

    def __init__(self, world: "AdmissionWorld", *arguments):
        super().__init__(*arguments)
        self._world = world

    def _compute(self, now_s):
        findings = super()._compute(now_s)
        silent = findings.silent | self._world.silent
        loads = self._loads.rows(now_s, silent)
        return findings._replace(silent=silent, loads=loads)


class AdmissionEvents(SilentObserver):
    """Counts when a host begins and stops to refuse."""

    def __init__(self):
        self.limited = 0
        self.unlimited = 0

    def admission_limited(self, evidence):
        self.limited += 1

    def admission_unlimited(self, evidence):
        self.unlimited += 1


class FakeUpstream:
    """Works on as many requests as it has slots, queues some and rejects the rest."""

    def __init__(self, clock: VirtualScheduler, listed: Upstream):
        self._clock = clock
        self.listed = listed
        self.is_responding = True
        self.busy = 0
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()

    @property
    def has_free_slot(self) -> bool:
        return self.is_responding and self.busy < self.listed.slots

    def accept(self, work_s: float, done: Callable[[], None]) -> bool:
        """Begin or queue a request; False if the queue is full."""
        if self.busy < self.listed.slots:
            self._begin(work_s, done)
        elif len(self.queue) < QUEUE_PER_SLOT * self.listed.slots:
            self.queue.append((work_s, done))
        else:
            return False
        return True

    def _begin(self, work_s: float, done: Callable[[], None]) -> None:
        self.busy += 1

        def finish() -> None:
            self.busy -= 1
            if self.is_responding:
                done()
            if self.queue:
                self._begin(*self.queue.popleft())

        self._clock.call_later(work_s, finish)


class FakeHost:
    """One host: real steering, and a part in the exchange of reports and findings."""

    def __init__(self, world: "AdmissionWorld", zone: int, number: int):
        self._world = world
        self.zone = zone
        self.number = number
        self.events = AdmissionEvents()
        self.settings = steering_settings(
            _zone_id(zone),
            f"host-{number}",
            number,
            uses_zone_findings=True,
            refuses_on_overload=True,
        )
        self.directory, config = UpstreamDirectory(), ConfigView()
        now_s = world.clock.now_s()
        self.directory.apply(world.listing(), now_s, store_healthy_s=60.0)
        config.apply(world.config())
        config.confirm(now_s)
        self.steering = FlowSteering(self.settings, self.directory, config, self.events)
        if not world.sizes.uses_admission:
            self.steering.admission = None
        self.evidence = InformedEvidence(
            world,
            self.settings,
            Address(f"10.0.0.{number}", 8166),
            self.directory,
            self.steering.recorder,
            self.steering.findings,
            NoOpShareObserver(),
            config,
        )
        self.is_restarted = False
        self.refusals = 0
        self._is_stopped = False
        phase_s = world.rng.random() * SHARE_INTERVAL_S
        world.clock.call_later(phase_s, self._share)

    def stop(self) -> None:
        self._is_stopped = True

    def _share(self) -> None:
        if self._is_stopped:
            return
        self._world.clock.call_later(SHARE_INTERVAL_S, self._share)
        now_s = self._world.clock.now_s()
        reader = self._world.reader(self.zone)
        if reader is self:
            self._world.exchange_between_zones(self)
            self.evidence.update_findings(now_s)
        elif self._world.is_exchanging:
            report = self.evidence.take_report(now_s)
            reader.evidence.add_report(self.settings.control_listen, report, now_s)
            findings = reader.evidence.update_findings(now_s)
            self.evidence.apply_findings(findings, now_s)


class Request:
    """One request of a client, with its retries."""

    def __init__(
        self, world: "AdmissionWorld", zone: int, kind: RequestType, followers: int
    ):
        self._world = world
        # Requests that the same client makes after this one, on the same flow if it is
        # still open.
        self._followers = followers
        self._zone = zone
        self.kind = kind
        self._began_s = world.clock.now_s()
        self._tally = world.tally
        self._tally.possible += kind.value
        self._retries = 0
        self._attempt = 0
        self._is_done = False
        self._upstream: FakeUpstream | None = None
        self._host: FakeHost | None = None
        self._flow = FlowKey(b"")
        self._sequence = self._acknowledged = 1

    def open(self) -> None:
        """Open a flow for the request, from a new port."""
        self._attempt += 1
        attempt = self._attempt
        self._upstream = None
        self._host = self._world.any_host(self._zone)
        self._flow = self._world.next_flow(self._zone, self.kind)
        for copy, time_s in enumerate(COPY_TIMES_S):
            self._later(time_s, attempt, lambda copy=copy: self._send_opening(copy))
        self._later(OPENING_LIMIT_S, attempt, self._give_up)

    def repeat_on(self, other: "Request") -> None:
        """Send the request on the open flow of an earlier one."""
        self._upstream, self._host = other._upstream, other._host
        self._flow = other._flow
        self._sequence, self._acknowledged = other._sequence, other._acknowledged
        self._attempt += 1
        self._send()

    def _later(self, delay_s, attempt, callback) -> None:
        def run() -> None:
            if attempt == self._attempt and not self._is_done:
                callback()

        self._world.clock.call_later(delay_s, run)

    def _send_opening(self, copy: int) -> None:
        if self._upstream is not None:
            return
        moment = (int(2.0 * self._world.clock.now_s()), self._zone)
        is_counted = copy == 0 and self.kind.kind is RequestKind.IDEMPOTENT
        self._tally.asked[moment] += is_counted
        decision = self._steer(PacketKind.OPENING, 0, copy)
        if isinstance(decision, Refuse):
            self._count_refusal(decision)
            self._retry("refused")
        elif isinstance(decision, Forward):
            upstream = self._world.upstreams[decision.upstream.upstream_id]
            if upstream.is_responding:
                self._later(ROUND_TRIP_S, self._attempt, lambda: self._opened(upstream))

    def _count_refusal(self, refusal: Refuse) -> None:
        if refusal.reason is RefusalReason.OVERLOADED:
            moment = (int(2.0 * self._world.clock.now_s()), self._zone)
            self._tally.refused[moment] += self.kind.kind is RequestKind.IDEMPOTENT
            self._tally.counts[self.kind.name, "refusals"] += 1
            self._host.refusals += 1
            self._world.note_refusal()

    def _give_up(self) -> None:
        if self._upstream is None:
            self._retry("unopened")

    def _opened(self, upstream: FakeUpstream) -> None:
        if self._upstream is None:
            self._upstream = upstream
            self._sequence = self._acknowledged = 1
            self._send()

    def _send(self) -> None:
        self._attempt += 1
        attempt = self._attempt
        left_s = self._began_s + self.kind.deadline_s - self._world.clock.now_s()
        self._later(max(0.0, left_s), attempt, self._time_out)
        self._steer(PacketKind.ESTABLISHED, REQUEST_BYTES)
        if not self._upstream.is_responding:
            return
        work_s = self.kind.work_s * self._world.rng.lognormvariate(
            -WORK_SPREAD * WORK_SPREAD / 2.0, WORK_SPREAD
        )

        def finished() -> None:
            self._later(ROUND_TRIP_S, attempt, self._answered)

        if not self._upstream.accept(work_s, finished):
            self._tally.counts[self.kind.name, "rejections"] += 1
            self._later(ROUND_TRIP_S, attempt, self._rejected)

    def _acknowledge(self) -> None:
        self._sequence += REQUEST_BYTES
        self._acknowledged += RESPONSE_BYTES
        self._steer(PacketKind.ESTABLISHED, 0)

    def _answered(self) -> None:
        self._acknowledge()
        waited_s = self._world.clock.now_s() - self._began_s
        is_late = waited_s > self.kind.target_s
        self._tally.earned += self.kind.late_value if is_late else self.kind.value
        is_last = not self._followers
        self._finish("late" if is_late else "in time", is_flow_open=True)
        if is_last:
            self._steer(PacketKind.CLOSING, 0)

    def _rejected(self) -> None:
        self._acknowledge()
        self._steer(PacketKind.CLOSING, 0)
        self._retry("rejected")

    def _time_out(self) -> None:
        self._steer(PacketKind.ABORTING, 0)
        self._finish("timed out")

    def _retry(self, outcome: str) -> None:
        self._attempt += 1
        if self._retries == MAX_RETRIES:
            self._finish(outcome)
            return
        self._retries += 1
        self._later(RETRY_PAUSE_S, self._attempt, self.open)

    def _finish(self, outcome: str, is_flow_open: bool = False) -> None:
        self._is_done = True
        self._tally.counts[self.kind.name, outcome] += 1
        if not self._followers:
            return
        follower = Request(self._world, self._zone, self.kind, self._followers - 1)
        if is_flow_open:
            follower.repeat_on(self)
        else:
            follower.open()

    def _steer(self, kind: PacketKind, payload_bytes: int, copy: int = 0):
        listed = None if self._upstream is None else self._upstream.listed
        is_opening = kind is PacketKind.OPENING
        packet = client_packet(
            self._flow,
            _service_address(self.kind),
            kind,
            listed,
            sequence=self._sequence,
            acknowledged=copy if is_opening else self._acknowledged,
            payload_bytes=payload_bytes,
            retransmit_count=copy,
        )
        return self._host.steering.steer(packet, self._world.clock.now_s())


class AdmissionWorld:
    """Clients, hosts and upstreams of one service on virtual time."""

    def __init__(self, sizes: WorldSizes, seed: int):
        self.sizes = sizes
        self.rng = random.Random(seed)
        # The arrivals are the same, whatever becomes of the requests.
        self._arrivals = random.Random(f"arrivals {seed}")
        self.clock = VirtualScheduler()
        self.tally = Tally()
        self.is_exchanging = True
        self.silent: frozenset[Tag] = frozenset()
        # Refusals while an upstream that responds had a free slot.
        self.refused_with_free_slot = 0
        self.zone_weights = [1.0] * sizes.zones
        self._ports = count(1)
        self._evacuated: set[int] = set()
        self._demand: dict[str, float] = {}
        self._until_s = 0.0
        listed = [
            make_upstream(
                f"{zone + 1:x}{number:03x}",
                service=SERVICE,
                zone=_zone_id(zone),
                slots=sizes.slots,
            )
            for zone in range(sizes.zones)
            for number in range(sizes.upstreams_per_zone)
        ]
        self.upstreams: dict[UpstreamId, FakeUpstream] = {
            item.upstream_id: FakeUpstream(self.clock, item) for item in listed
        }
        self.hosts = [
            FakeHost(self, zone, 10 * zone + number + 1)
            for zone in range(sizes.zones)
            for number in range(sizes.hosts_per_zone)
        ]

    def run(self, length_s: float, demand: float, **demand_by_type: float) -> None:
        """Play so many seconds, at a demand in terms of the usual capacity."""
        self._until_s = self.clock.now_s() + length_s
        for kind in self.sizes.types:
            name = kind.name.replace("-", "_")
            per_s = (
                demand_by_type.get(name, demand)
                * self.sizes.capacity_per_s
                * kind.share
                / kind.requests_per_flow
            )
            self._arrive(kind, per_s, self._until_s)
        self.clock.run_for(length_s)

    def start_tally(self) -> None:
        """Count from now on only."""
        self.tally = Tally()
        self.refused_with_free_slot = 0

    def settle(self) -> None:
        """Let the requests that have begun come to their ends."""
        self.clock.run_for(8.0)

    def stop_responding(self, part: float) -> None:
        """Let some upstreams of each zone answer nothing from now on."""
        per_zone = self.sizes.upstreams_per_zone
        for index, upstream in enumerate(self.upstreams.values()):
            upstream.is_responding &= index % per_zone >= round(part * per_zone)
        self.clock.call_later(SILENCE_DETECTION_S, self._tell_silent)

    def _tell_silent(self) -> None:
        self.silent = frozenset(
            upstream_tag(upstream_id)
            for upstream_id, upstream in self.upstreams.items()
            if not upstream.is_responding
        )

    def evacuate(self, zone: int) -> None:
        """Take the upstreams of a zone from the listing; its hosts go on."""
        self._evacuated.add(zone)
        for host in self.hosts:
            host.directory.apply(self.listing(), self.clock.now_s(), 60.0)

    def restart_hosts(self, part: float) -> None:
        """Replace some hosts of each zone by new processes that know nothing."""
        for index, host in enumerate(self.hosts):
            place = index % self.sizes.hosts_per_zone
            if place >= self.sizes.hosts_per_zone * (1.0 - part):
                host.stop()
                self.hosts[index] = FakeHost(self, host.zone, host.number)
                self.hosts[index].is_restarted = True

    def listing(self) -> Listing:
        listed = tuple(
            upstream.listed
            for upstream in self.upstreams.values()
            if upstream.listed.zone not in map(_zone_id, self._evacuated)
        )
        return Listing(single_page(len(self._evacuated) + 1), listed, frozenset())

    def config(self) -> RouteConfig:
        limits = 1000.0 if self.sizes.has_limits else 0.0
        routes = tuple(
            Route(
                kind.name,
                _service_address(kind),
                (WeightedService(SERVICE, 1.0),),
                kind.kind,
                kind.priority,
                round(limits * kind.target_s),
                round(limits * kind.deadline_s),
            )
            for kind in self.sizes.types
        )
        return RouteConfig(ConfigVersion(1), routes, 15_000)

    def reader(self, zone: int) -> FakeHost:
        return next(host for host in self.hosts if host.zone == zone)

    def exchange_between_zones(self, reader: FakeHost) -> None:
        """Let a reader learn what the readers of the other zones have found out."""
        now_s = self.clock.now_s()
        for zone in range(self.sizes.zones):
            if zone != reader.zone and self.is_exchanging:
                findings = self.reader(zone).evidence.update_findings(now_s)
                reader.evidence.set_foreign_findings(_zone_id(zone), findings, now_s)

    def any_host(self, zone: int) -> FakeHost:
        return self.rng.choice([host for host in self.hosts if host.zone == zone])

    def next_flow(self, zone: int, kind: RequestType) -> FlowKey:
        client = bytes((100, 64 + zone)) + next(self._ports).to_bytes(4, "big")
        return FlowKey(client + _service_address(kind))

    def note_refusal(self) -> None:
        self.refused_with_free_slot += any(
            upstream.has_free_slot
            and upstream.listed.zone not in map(_zone_id, self._evacuated)
            for upstream in self.upstreams.values()
        )

    def _arrive(self, kind: RequestType, per_s: float, until_s: float) -> None:
        wait_s = self._arrivals.expovariate(per_s) if per_s else float("inf")
        if self.clock.now_s() + wait_s >= until_s:
            return

        def arrive() -> None:
            zones = range(self.sizes.zones)
            zone = self._arrivals.choices(zones, self.zone_weights)[0]
            followers = 0
            while self._arrivals.random() > 1.0 / kind.requests_per_flow:
                followers += 1
            Request(self, zone, kind, followers).open()
            self._arrive(kind, per_s, until_s)

        self.clock.call_later(wait_s, arrive)


def _zone_id(zone: int) -> str:
    return "abcdefgh"[zone]


def _service_address(kind: RequestType) -> ServiceAddress:
    return ServiceAddress(bytes((198, 18, 0, 10 + len(kind.name), 1, 187)))
