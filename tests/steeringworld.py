"""Upstreams, packets and hosts for the features of flow steering, without a network."""

import heapq
from itertools import count

from wisteriatiller.ids import Address, FlowKey, HostId, Revision, ServiceId, ZoneId
from wisteriatiller.network.loop import Scheduler, Timer
from wisteriatiller.steering import (
    ConfigVersion,
    Listing,
    Packet,
    PacketKind,
    Route,
    RouteConfig,
    ServiceAddress,
    SteeringSettings,
    Upstream,
    UpstreamState,
    WeightedService,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering, SteeringObserver
from wisteriatiller.steering.upstreams import NO_TAG

SERVICE_ADDRESS = ServiceAddress(bytes((198, 18, 0, 1, 1, 187)))
OTHER_ADDRESS = ServiceAddress(bytes((198, 18, 0, 2, 1, 187)))


class VirtualScheduler(Scheduler):
    """Time that moves only when a test says so."""

    def __init__(self):
        self._now_s = 1000.0
        self._order = count()
        self._timers = []

    def now_s(self):
        return self._now_s

    def call_later(self, delay_s, callback):
        timer = Timer(callback)
        due_s = self._now_s + delay_s
        heapq.heappush(self._timers, (due_s, next(self._order), timer))
        return timer

    def run_for(self, duration_s):
        end_s = self._now_s + duration_s
        while self._timers and self._timers[0][0] <= end_s:
            self._now_s, _, timer = heapq.heappop(self._timers)
            if not timer.is_cancelled:
                timer.callback()
        self._now_s = end_s


class RecordingObserver(SteeringObserver):
    """Keeps what steering reports."""

    def __init__(self):
        self.events = []

    def flow_opened(self, packet, route, entry, reason):
        self.events.append(("opened", entry.upstream.upstream_id, reason))

    def flow_answered(self, flow, waited_s):
        self.events.append(("answered", flow.upstream_id, waited_s))

    def request_answered(self, flow, waited_s):
        self.events.append(("request_answered", flow.upstream_id, waited_s))

    def refused(self, packet, refusal):
        self.events.append(("refused", refusal.reason))

    def discarded(self, packet, discard):
        self.events.append(("discarded", discard.reason))

    def suspected(self, upstream_id, flows):
        self.events.append(("suspected", upstream_id))

    def trusted(self, upstream_id):
        self.events.append(("trusted", upstream_id))

    def tag_unknown(self):
        self.events.append(("tag_unknown",))


def steering_settings(zone="a", host="host-1", number=1, **changes):
    ip = f"10.0.0.{number}"
    settings = SteeringSettings(
        host_id=HostId(host),
        zone=ZoneId(zone),
        data_listen=Address(ip, 8172),
        ready_listen=Address(ip, 8167),
        control_listen=Address(ip, 8166),
        metrics_listen=Address(ip, 9464),
        return_port=8172,
        store=Address("10.200.1.7", 8169),
        seeds=(),
        stop_timeout_s=2.0,
        max_value_bytes=1_048_576,
    )
    return settings._replace(**changes)


def upstream(
    name, service="stock", zone="a", state=UpstreamState.READY, slots=3, **changes
):
    made = Upstream(
        upstream_id=f"i-{name}",
        service=ServiceId(service),
        address=Address("10.128.0.9", 8080),
        zone=ZoneId(zone),
        slots=slots,
        state=state,
        cold_for_ms=0,
        started_ms=1,
    )
    return made._replace(**changes)


def listing(revision, *upstreams, unreadable=()):
    return Listing((Revision(revision),), tuple(upstreams), frozenset(unreadable))


def route_config(version, *services, address=SERVICE_ADDRESS):
    """One route whose services have the given weights, as ``("stock", 90.0)``."""
    weighted = tuple(
        WeightedService(ServiceId(name), share) for name, share in services
    )
    route = Route("route", address, weighted)
    return RouteConfig(ConfigVersion(version), (route,), 15_000)


def large_config(version, routes):
    """So many routes to one service, as the operators' growth brings them."""
    made = [
        Route(
            f"route-{number}",
            ServiceAddress(bytes((198, 18, number >> 8, number & 255, 1, 187))),
            (WeightedService(ServiceId("stock"), 1.0),),
        )
        for number in range(routes)
    ]
    return RouteConfig(ConfigVersion(version), tuple(made), 15_000)


def flow_key(number, service_address=SERVICE_ADDRESS):
    client = bytes((100, 64, number >> 8 & 255, number & 255))
    return FlowKey(client + (40_000).to_bytes(2, "big") + service_address)


def opening(number, copy=0, address=SERVICE_ADDRESS):
    return Packet(
        flow=flow_key(number, address),
        service_address=address,
        kind=PacketKind.OPENING,
        tag=NO_TAG,
        sequence=5000 + number,
        acknowledged=copy,
        payload_bytes=0,
        copy=copy,
    )


def established(number, tag, sequence=1, acknowledged=1, payload_bytes=100, **changes):
    packet = Packet(
        flow=flow_key(number),
        service_address=SERVICE_ADDRESS,
        kind=PacketKind.ESTABLISHED,
        tag=tag,
        sequence=sequence,
        acknowledged=acknowledged,
        payload_bytes=payload_bytes,
    )
    return packet._replace(**changes)


class SteeringWorld:
    """One host's steering with its beliefs and a clock."""

    def __init__(self, zone="a", config=None, entries=()):
        self.now_s = 1000.0
        self.directory = UpstreamDirectory()
        self.config = ConfigView()
        self.observer = RecordingObserver()
        self.steering = FlowSteering(
            steering_settings(zone), self.directory, self.config, self.observer
        )
        self.revision = 0
        self.list(*entries)
        self.configure(config or route_config(1, ("stock", 1.0)))

    def list(self, *upstreams, unreadable=(), steady_s=60.0):
        self.revision += 1
        changes = self.directory.apply(
            listing(self.revision, *upstreams, unreadable=unreadable),
            self.now_s,
            steady_s,
        )
        self.steering.directory_changed(changes)
        return changes

    def configure(self, config):
        self.config.apply(config)
        self.config.confirm(self.now_s)

    def steer(self, packet, after_s=0.0):
        self.now_s += after_s
        return self.steering.steer(packet, self.now_s)

    def open(self, number):
        """Open a flow up to the client's first answer; returns the upstream."""
        decision = self.steer(opening(number))
        self.steer(established(number, decision.tag), after_s=0.01)
        return decision.upstream
