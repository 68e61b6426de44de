"""Uneven demand on virtual time: zones out of phase, clients that move, bursts.

The hosts exchange reports and findings as read sharing does, so that what they act on
has the same age::

    world = UnevenWorld(SITES["kopru"], MOVED, hosts=76, seed=1, policy=Policy())
    result = world.run()
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from wisteriatiller.ids import Address
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import ZoneEvidence
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.selection import UpstreamSelector
from wisteriatiller.steering.steering import FlowSteering

from .flowworld import (
    FIRST_CLIENT_BYTE,
    ZONE_NAMES,
    FlowSizes,
    FlowWorld,
    Session,
    SilentObserver,
)
from .steeringparts import NoOpShareObserver, VirtualScheduler
from .upstreamtotals import UpstreamTotals

ZONES = 3
EXCHANGE_INTERVAL_S = 0.6
WARMUP_S = 4.0
LENGTH_S = 20.0
# Hosts of each zone that ask upstreams for their load, and the time that it takes them.
PROBING_HOSTS = 2
PROBE_WORK_S = 0.001


class Site(NamedTuple):
    """A deployment: its upstreams, its request types and its demand wave."""

    upstreams: FlowSizes
    kinds: tuple[FlowSizes, ...]
    swing: float
    period_s: float

    def scaled(self, factor: float) -> "Site":
        """The same deployment at a multiple of its load."""
        kinds = tuple(
            kind._replace(requests_per_s=factor * kind.requests_per_s)
            for kind in self.kinds
        )
        return self._replace(kinds=kinds)


class Demand(NamedTuple):
    """Demand of each zone relative to an even one, after ``moved_at_s``.

    The last zone has a burst from ``burst_at_s`` on, counted from the end of the
    warm-up.
    """

    name: str
    parts: tuple[float, ...] = (1.0,) * ZONES
    moved_at_s: float = 3.0
    burst: float = 1.0
    burst_at_s: float = 8.0
    burst_length_s: float = 5.0


AS_PRINTED = Demand("as_printed")
MOVED = Demand("moved", parts=(0.2, 0.2, 2.6), burst=1.8)

_LONG_FLOW_REQUESTS = 2.4
_UPSTREAMS = FlowSizes(upstreams_by_zone=(20, 20, 20), slots=2, queue_per_slot=4)
# Requests per second at half of the printed rates, which are the rates as played.
SITES = {
    "kopru": Site(
        _UPSTREAMS._replace(speeds=(0.6, 1.0, 1.6)),
        (
            FlowSizes(
                requests_per_s=371.0,
                requests_per_flow=_LONG_FLOW_REQUESTS,
                work_s=0.0276,
                aim_s=0.453,
                deadline_s=2.83,
            ),
            FlowSizes(
                requests_per_s=24.8,
                requests_per_flow=1.0,
                work_s=0.0042,
                aim_s=1.344,
                deadline_s=8.96,
            ),
        ),
        swing=0.55,
        period_s=13.0,
    ),
    "pecan": Site(
        _UPSTREAMS,
        (
            FlowSizes(
                requests_per_s=284.5,
                requests_per_flow=_LONG_FLOW_REQUESTS,
                work_s=0.055,
                aim_s=0.553,
                deadline_s=2.766,
            ),
            FlowSizes(
                requests_per_s=105.9,
                requests_per_flow=1.0,
                work_s=0.0566,
                aim_s=0.652,
                deadline_s=3.26,
            ),
        ),
        swing=0.15,
        period_s=11.0,
    ),
}


class Policy(NamedTuple):
    """How hosts choose upstreams; the product's own selector by default."""

    make_chooser: Callable[[FlowSteering], UpstreamSelector] | None = None
    uses_zone_findings: bool = True
    probes_upstreams: bool = False


class UnevenResult(NamedTuple):
    """Ends of all requests, rejected tries, and how even the upstreams were loaded."""

    requests: int
    in_time: int
    late: int
    rejected_tries: int
    failed: int
    busiest_to_mean: float


class Placement(NamedTuple):
    """A new flow: the zones of its client and its upstream, as numbers."""

    placed_at_s: float
    client_zone: int
    upstream_zone: int
    reason: str


class PlacementRecorder(SilentObserver):
    """Records where new flows are placed."""

    def __init__(self, clock: VirtualScheduler):
        self._clock = clock
        self.placements: list[Placement] = []

    def flow_placed(self, packet, route, entry, reason):
        client_zone = packet.flow[1] - FIRST_CLIENT_BYTE
        upstream_zone = ZONE_NAMES.index(entry.upstream.zone)
        self.placements.append(
            Placement(self._clock.now_s(), client_zone, upstream_zone, reason)
        )


class Visit(Session):
    """A client that makes the requests of one flow and leaves."""

    def start(self) -> None:
        self._request()

    def begin(self) -> None:
        if self._upstream is not None:
            super().begin()


class _Reader:
    """The host of a zone to which the others report."""

    def __init__(self, world: "UnevenWorld", zone: int):
        self.host = world.hosts[zone][0]
        self.address = Address(f"10.1.{zone}.0", 8166)
        directory = UpstreamDirectory()
        directory.apply(world.listing(), world.clock.now_s(), store_healthy_s=60.0)
        self.totals = UpstreamTotals()
        self.evidence = ZoneEvidence(
            self.host.settings,
            self.address,
            directory,
            self.host.recorder,
            self.host.findings,
            NoOpShareObserver(),
            ConfigView(),
        )


class WorldExchange:
    """Passes reports and findings between hosts at the intervals of read sharing."""

    def __init__(self, world: "UnevenWorld"):
        self._world = world
        self._clock = world.clock
        self.readers = [_Reader(world, zone) for zone in range(ZONES)]
        # Zones whose readers cannot be asked by those of others.
        self.cut_zones: set[int] = set()
        for zone, reader in enumerate(self.readers):
            self._repeat(lambda reader=reader: self._read(reader))
            for number, host in enumerate(world.hosts[zone][1:], start=1):
                address = Address(f"10.1.{zone}.{number}", 8166)
                self._repeat(
                    lambda reader=reader, host=host, address=address: self._report(
                        reader, host, address
                    )
                )

    def _repeat(self, action: Callable[[], None]) -> None:
        """Run an action at the interval of the exchange, from a random moment on."""

        def run() -> None:
            action()
            self._clock.call_later(EXCHANGE_INTERVAL_S, run)

        self._clock.call_later(self._world.rng.uniform(0, EXCHANGE_INTERVAL_S), run)

    def _report(self, reader: _Reader, host: FlowSteering, address: Address) -> None:
        now_s = self._clock.now_s()
        report = host.recorder.take_report(now_s)
        reader.totals.add_report(address, report, now_s)
        reader.evidence.add_report(address, report, now_s)
        host.findings.set(reader.evidence.update_findings(now_s), now_s)
        self._give_totals(reader, host, now_s)

    def _read(self, reader: _Reader) -> None:
        now_s = self._clock.now_s()
        reader.evidence.update_findings(now_s)
        self._give_totals(reader, reader.host, now_s)
        for zone, other in enumerate(self.readers):
            is_cut = self.cut_zones & {zone, self.readers.index(reader)}
            if other is not reader and not is_cut:
                findings = other.evidence.update_findings(now_s)
                reader.evidence.set_foreign_findings(
                    other.host.settings.zone, findings, now_s
                )

    def _give_totals(self, reader: _Reader, host: FlowSteering, now_s: float) -> None:
        if hasattr(host.selector, "totals"):
            host.selector.totals = reader.totals.values(now_s)


class UnevenWorld(FlowWorld):
    """A deployment under uneven demand, whose hosts exchange what they know."""

    def __init__(
        self, site: Site, demand: Demand, hosts: int, seed: int, policy: Policy
    ):
        self._site = site
        self._demand = demand
        sizes = site.upstreams._replace(hosts_per_zone=math.ceil(hosts / ZONES))
        super().__init__(sizes, seed, policy.make_chooser, policy.uses_zone_findings)
        self.started_at_s = self.clock.now_s()
        self.exchange = WorldExchange(self)
        if policy.probes_upstreams:
            self._probe()

    def run(self, length_s: float = LENGTH_S) -> UnevenResult:
        """Play so many seconds after the warm-up, which is not counted."""
        self.clock.run_for(WARMUP_S)
        self._waits_s.clear()
        self._aims_s.clear()
        for upstream in self.upstreams.values():
            upstream.arrivals = upstream.rejections = 0
        self.clock.run_for(length_s)
        return self._uneven_result()

    def _make_observer(self) -> PlacementRecorder:
        return PlacementRecorder(self.clock)

    def _begin_sessions(self) -> None:
        for zone in range(ZONES):
            for kind in self._site.kinds:
                self._arrive(zone, kind)

    def _arrive(self, zone: int, kind: FlowSizes) -> None:
        """Schedule the clients of a zone; candidates are thinned to the demand."""
        demand = self._demand
        most = (1.0 + self._site.swing) * max(1.0, *demand.parts) * demand.burst
        rate = kind.requests_per_s / kind.requests_per_flow / ZONES

        def arrive() -> None:
            self.clock.call_later(self.rng.expovariate(rate * most), arrive)
            if self.rng.random() * most < self._relative_demand(zone):
                Visit(self, zone, kind).start()

        self.clock.call_later(self.rng.expovariate(rate * most), arrive)

    def _relative_demand(self, zone: int) -> float:
        """The demand of a zone at present, relative to its mean."""
        demand = self._demand
        time_s = self.clock.now_s() - self.started_at_s - WARMUP_S
        phase = time_s / self._site.period_s + zone / ZONES
        relative = 1.0 + self._site.swing * math.sin(2.0 * math.pi * phase)
        if time_s >= demand.moved_at_s:
            relative *= demand.parts[zone]
        is_burst = 0.0 <= time_s - demand.burst_at_s < demand.burst_length_s
        return relative * demand.burst if is_burst and zone == ZONES - 1 else relative

    def _probe(self) -> None:
        """Let a few hosts of each zone ask its upstreams for their load."""
        self.clock.call_later(EXCHANGE_INTERVAL_S, self._probe)
        for zone, reader in enumerate(self.exchange.readers):
            name = self.hosts[zone][0].settings.zone
            for upstream in self.upstreams.values():
                if upstream.listed.zone != name:
                    continue
                for _ in range(PROBING_HOSTS):
                    self._probe_upstream(reader, upstream)

    def _probe_upstream(self, reader, upstream) -> None:
        upstream_id = upstream.listed.upstream_id

        def answer() -> None:
            reader.totals.add_reported_load(upstream_id, upstream.load)

        if not upstream.work(PROBE_WORK_S / upstream.slowness, answer):
            answer()

    def _uneven_result(self) -> UnevenResult:
        answered = [
            (waited_s, aim_s)
            for waited_s, aim_s in zip(self._waits_s, self._aims_s, strict=True)
            if waited_s is not None
        ]
        in_time = sum(waited_s <= aim_s for waited_s, aim_s in answered)
        arrivals = [upstream.arrivals for upstream in self.upstreams.values()]
        return UnevenResult(
            requests=len(self._waits_s),
            in_time=in_time,
            late=len(answered) - in_time,
            rejected_tries=sum(
                upstream.rejections for upstream in self.upstreams.values()
            ),
            failed=len(self._waits_s) - len(answered),
            busiest_to_mean=max(arrivals) * len(arrivals) / max(1, sum(arrivals)),
        )
