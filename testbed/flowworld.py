"""Clients, hosts and upstreams of steered flows on virtual time, without a network.

Clients keep a flow open for several requests, hosts steer its packets with the real
``FlowSteering``, and upstreams work on as many requests at a time as they have slots::

    world = FlowWorld(FlowSizes(), seed=1)
    result = world.run(20.0)
"""

import random
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, Revision, ZoneId
from wisteriatiller.steering import (
    Forward,
    Listing,
    PacketKind,
    Upstream,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.listingpages import single_page
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.selection import UpstreamSelector
from wisteriatiller.steering.steering import FlowSteering, SteeringObserver

from .steeringparts import (
    COPY_TIMES_S,
    OPENING_LIMIT_S,
    SERVICE_ADDRESS,
    VirtualScheduler,
    client_packet,
    route_config,
    steering_settings,
    upstream as make_upstream,
)

ROUND_TRIP_S = 0.008
REPEAT_TIMES_S = (0.2, 0.6, 1.4)
RETRY_PAUSE_S = 0.02
MAX_RETRIES = 2
REQUEST_BYTES = 100
RESPONSE_BYTES = 2000
SAMPLE_INTERVAL_S = 0.25
ZONE_NAMES = "abcdefgh"
# Added to the number of a zone, the second byte of the addresses of its clients.
FIRST_CLIENT_BYTE = 64

SteeringMaker = Callable[[FlowSteering], UpstreamSelector]


class FlowSizes(NamedTuple):
    """An installation and its load; the defaults are those of the users' first site."""

    hosts_per_zone: int = 5
    upstreams_by_zone: tuple[int, ...] = (3, 2, 2)
    slots: int = 3
    requests_per_s: float = 188.0
    requests_per_flow: float = 6.0
    think_s: float = 0.4
    work_s: float = 0.043
    work_spread: float = 0.5
    aim_s: float = 0.2
    deadline_s: float = 1.2
    late_worth: float = 0.3
    # Requests that an upstream queues for each slot; it rejects what comes then.
    queue_per_slot: int = 2
    # Speeds of upstreams, taken in turns within each zone.
    speeds: tuple[float, ...] = (1.0,)


class FlowResult(NamedTuple):
    """Shares of all requests, and how even the upstreams were loaded."""

    requests: int
    worth: float
    late: float
    failed: float
    copies: float
    busiest_to_mean: float


class SilentObserver(SteeringObserver):
    """Takes no notice of what steering reports."""

    def flow_placed(self, packet, route, entry, reason):
        pass

    def flow_established(self, flow, waited_s):
        pass

    def request_answered(self, flow, waited_s):
        pass

    def packet_refused(self, packet, refusal):
        pass

    def flow_reset(self, reset):
        pass

    def packet_discarded(self, packet, discard):
        pass

    def upstream_suspected(self, upstream_id, flows):
        pass

    def upstream_trusted(self, upstream_id):
        pass

    def unknown_tag_received(self):
        pass


class WorkingUpstream:
    """An upstream that may be slow, or dark and answer nothing."""

    def __init__(
        self,
        clock: VirtualScheduler,
        listed: Upstream,
        queue_per_slot: int,
        speed: float = 1.0,
    ):
        self._clock = clock
        self.listed = listed
        self._max_queued = queue_per_slot * listed.slots
        self.slowness = 1.0 / speed
        self.is_dark = False
        # Opens flows and answers no request.
        self.is_mute = False
        self.open_flows = 0
        # Requests that have arrived, and those of them that were rejected.
        self.arrivals = 0
        self.rejections = 0
        self._busy = 0
        self._queue: deque[tuple[float, Callable[[], None]]] = deque()

    def work(self, work_s: float, done: Callable[[], None]) -> bool:
        """Begin or queue a request; False if it is rejected."""
        if self._busy < self.listed.slots:
            self._begin(work_s, done)
        elif len(self._queue) < self._max_queued:
            self._queue.append((work_s, done))
        else:
            return False
        return True

    @property
    def load(self) -> int:
        """The requests that it works on or queues."""
        return self._busy + len(self._queue)

    def _begin(self, work_s: float, done: Callable[[], None]) -> None:
        self._busy += 1

        def finish() -> None:
            self._busy -= 1
            if not self.is_dark and not self.is_mute:
                done()
            if self._queue:
                self._begin(*self._queue.popleft())

        self._clock.call_later(work_s * self.slowness, finish)


class Session:
    """A user who makes one request after another, on as few flows as it takes."""

    def __init__(self, world: "FlowWorld", zone_index: int, sizes: FlowSizes):
        self._world = world
        self._zone_index = zone_index
        self._sizes = sizes
        self._rng = world.rng
        self._upstream: WorkingUpstream | None = None
        self._host: FlowSteering | None = None
        self._flow = FlowKey(b"")
        self._sequence = 0
        self._acknowledged = 0
        self._started_s = 0.0
        self._retries = 0
        # Tells a late event of an attempt from one of the attempt after it.
        self._attempt = 0

    def begin(self) -> None:
        """Think, then make a request."""
        pause_s = self._rng.expovariate(1.0 / self._sizes.think_s)
        self._world.clock.call_later(pause_s, self._request)

    def _request(self) -> None:
        self._started_s = self._world.clock.now_s()
        self._retries = 0
        if self._upstream is None:
            self._open()
        else:
            self._send()

    def _open(self) -> None:
        self._attempt += 1
        attempt = self._attempt
        self._host = self._world.any_host(self._zone_index)
        self._flow = self._world.next_flow(self._zone_index)
        for copy, time_s in enumerate(COPY_TIMES_S):
            self._world.clock.call_later(
                time_s, lambda copy=copy: self._knock(attempt, copy)
            )
        self._world.clock.call_later(OPENING_LIMIT_S, lambda: self._give_up(attempt))

    def _is_current(self, attempt: int) -> bool:
        return attempt == self._attempt

    def _knock(self, attempt: int, copy: int) -> None:
        if not self._is_current(attempt) or self._upstream is not None:
            return
        self._world.copies += copy > 0
        decision = self._steer(PacketKind.OPENING, 0, copy)
        if not isinstance(decision, Forward):
            return
        upstream = self._world.upstreams[decision.upstream.upstream_id]
        if not upstream.is_dark:
            self._world.clock.call_later(
                ROUND_TRIP_S, lambda: self._opened(attempt, upstream)
            )

    def _opened(self, attempt: int, upstream: WorkingUpstream) -> None:
        if not self._is_current(attempt) or self._upstream is not None:
            return
        self._upstream = upstream
        upstream.open_flows += 1
        self._sequence = self._acknowledged = 1
        self._send()

    def _give_up(self, attempt: int) -> None:
        if self._is_current(attempt) and self._upstream is None:
            self._fail()

    def _send(self) -> None:
        self._attempt += 1
        attempt = self._attempt
        sizes = self._sizes
        left_s = self._started_s + sizes.deadline_s - self._world.clock.now_s()
        self._world.clock.call_later(max(0.0, left_s), lambda: self._time_out(attempt))
        self._steer(PacketKind.ESTABLISHED, REQUEST_BYTES)
        if self._upstream.is_dark:
            for time_s in REPEAT_TIMES_S:
                self._world.clock.call_later(time_s, lambda: self._repeat(attempt))
            return
        work_s = sizes.work_s * self._rng.lognormvariate(0.0, sizes.work_spread)
        self._upstream.arrivals += 1
        if not self._upstream.work(work_s, lambda: self._respond(attempt)):
            self._upstream.rejections += 1
            self._world.clock.call_later(ROUND_TRIP_S, lambda: self._rejected(attempt))

    def _repeat(self, attempt: int) -> None:
        if self._is_current(attempt) and self._upstream is not None:
            self._steer(PacketKind.ESTABLISHED, REQUEST_BYTES)

    def _respond(self, attempt: int) -> None:
        self._world.clock.call_later(ROUND_TRIP_S, lambda: self._answered(attempt))

    def _answered(self, attempt: int) -> None:
        if not self._is_current(attempt):
            return
        self._attempt += 1
        self._sequence += REQUEST_BYTES
        self._acknowledged += RESPONSE_BYTES
        self._steer(PacketKind.ESTABLISHED, 0)
        self._finish(self._world.clock.now_s() - self._started_s)
        if self._rng.random() < 1.0 / self._sizes.requests_per_flow:
            self._close(PacketKind.CLOSING)
        self.begin()

    def _rejected(self, attempt: int) -> None:
        if self._is_current(attempt):
            self._close(PacketKind.CLOSING)
            self._fail()

    def _time_out(self, attempt: int) -> None:
        if self._is_current(attempt):
            self._close(PacketKind.ABORTING)
            self._finish(None)
            self.begin()

    def _close(self, kind: PacketKind) -> None:
        self._attempt += 1
        self._steer(kind, 0)
        self._upstream.open_flows -= 1
        self._upstream = None

    def _fail(self) -> None:
        waited_s = self._world.clock.now_s() - self._started_s
        self._attempt += 1
        if self._retries == MAX_RETRIES or waited_s >= self._sizes.deadline_s:
            self._finish(None)
            self.begin()
            return
        self._retries += 1
        self._world.clock.call_later(RETRY_PAUSE_S, self._open)

    def _finish(self, waited_s: float | None) -> None:
        self._world.finish(waited_s, self._sizes)

    def _steer(self, kind: PacketKind, payload_bytes: int, copy: int = 0):
        listed = None if self._upstream is None else self._upstream.listed
        is_opening = kind is PacketKind.OPENING
        packet = client_packet(
            self._flow,
            SERVICE_ADDRESS,
            kind,
            listed,
            sequence=self._sequence,
            acknowledged=copy if is_opening else self._acknowledged,
            payload_bytes=payload_bytes,
            retransmit_count=copy,
        )
        return self._host.steer(packet, self._world.clock.now_s())


class FlowWorld:
    """An installation under load, with one policy for the choice of upstreams."""

    def __init__(
        self,
        sizes: FlowSizes,
        seed: int,
        make_chooser: SteeringMaker | None = None,
        uses_zone_findings: bool = False,
    ):
        self.sizes = sizes
        self.rng = random.Random(seed)
        self.clock = VirtualScheduler()
        self.copies = 0
        self.observer = self._make_observer()
        self._waits_s: list[float | None] = []
        self._aims_s: list[float] = []
        self._flows = count(1)
        self._ratios: list[float] = []
        self.upstreams = {
            listed.upstream_id: WorkingUpstream(
                self.clock, listed, sizes.queue_per_slot, speed
            )
            for listed, speed in _listed(sizes)
        }
        self.hosts = [
            [
                _host(self, zone, make_chooser, uses_zone_findings)
                for _ in range(sizes.hosts_per_zone)
            ]
            for zone in range(self._zone_count())
        ]
        self._begin_sessions()

    def _make_observer(self) -> SteeringObserver:
        return SilentObserver()

    def _begin_sessions(self) -> None:
        """Begin as many sessions as make the requests of the sizes."""
        sizes = self.sizes
        cycle_s = sizes.think_s + sizes.work_s
        users = round(sizes.requests_per_s * cycle_s / self._zone_count())
        for zone in range(self._zone_count()):
            for _ in range(users):
                Session(self, zone, sizes).begin()

    def run(self, length_s: float) -> FlowResult:
        """Play so many seconds; the first two are not counted."""
        self.clock.run_for(2.0)
        self._waits_s.clear()
        self._aims_s.clear()
        self.copies = 0
        self._sample()
        self.clock.run_for(length_s)
        return self._result()

    def finish(self, waited_s: float | None, sizes: FlowSizes) -> None:
        """Note the end of a request; None if it failed."""
        self._waits_s.append(waited_s)
        self._aims_s.append(sizes.aim_s)

    def any_host(self, zone_index: int) -> FlowSteering:
        return self.rng.choice(self.hosts[zone_index])

    def next_flow(self, zone_index: int) -> FlowKey:
        number = next(self._flows)
        client = bytes((100, FIRST_CLIENT_BYTE + zone_index)) + number.to_bytes(
            4, "big"
        )
        return FlowKey(client + SERVICE_ADDRESS)

    def _zone_count(self) -> int:
        return len(self.sizes.upstreams_by_zone)

    def listing(self) -> Listing:
        listed = tuple(upstream.listed for upstream in self.upstreams.values())
        return Listing(single_page(Revision(1)), listed, frozenset())

    def _sample(self) -> None:
        flows = [upstream.open_flows for upstream in self.upstreams.values()]
        mean = sum(flows) / len(flows)
        if mean:
            self._ratios.append(max(flows) / mean)
        self.clock.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _result(self) -> FlowResult:
        waits_s = self._waits_s
        total = max(1, len(waits_s))
        failed = sum(waited_s is None for waited_s in waits_s)
        on_time = sum(
            waited_s is not None and waited_s <= aim_s
            for waited_s, aim_s in zip(waits_s, self._aims_s, strict=True)
        )
        late = len(waits_s) - failed - on_time
        return FlowResult(
            requests=len(waits_s),
            worth=(on_time + self.sizes.late_worth * late) / total,
            late=late / total,
            failed=failed / total,
            copies=self.copies / total,
            busiest_to_mean=sum(self._ratios) / max(1, len(self._ratios)),
        )


def _listed(sizes: FlowSizes) -> list[tuple[Upstream, float]]:
    """The upstreams of all zones with their speeds."""
    return [
        (
            make_upstream(
                f"{zone + 1:x}{number:03x}", zone=zone_id(zone), slots=sizes.slots
            ),
            sizes.speeds[number % len(sizes.speeds)],
        )
        for zone, number_of in enumerate(sizes.upstreams_by_zone)
        for number in range(number_of)
    ]


def zone_id(zone: int) -> ZoneId:
    return ZoneId(ZONE_NAMES[zone])


def _host(
    world: FlowWorld,
    zone: int,
    make_chooser: SteeringMaker | None,
    uses_zone_findings: bool,
) -> FlowSteering:
    directory, config = UpstreamDirectory(), ConfigView()
    settings = steering_settings(zone_id(zone), uses_zone_findings=uses_zone_findings)
    steering = FlowSteering(settings, directory, config, world.observer)
    if make_chooser is not None:
        steering.selector = make_chooser(steering)
    now_s = world.clock.now_s()
    directory.apply(world.listing(), now_s, store_healthy_s=60.0)
    config.apply(route_config(1, ("stock", 1.0)))
    config.confirm(now_s)
    return steering
