"""Virtual time, settings, upstreams and routes to run steering without a network."""

import heapq
from itertools import count

from wisteriatiller.ids import Address, HostId, ServiceId, ZoneId
from wisteriatiller.network.loop import Scheduler, Timer
from wisteriatiller.steering import (
    ConfigVersion,
    Packet,
    Route,
    RouteConfig,
    ServiceAddress,
    SteeringSettings,
    Upstream,
    UpstreamState,
    WarmupSettings,
    WeightedService,
)
from wisteriatiller.steering.evidence import ShareObserver
from wisteriatiller.steering.upstreams import NO_TAG, upstream_tag

SERVICE_ADDRESS = ServiceAddress(bytes((198, 18, 0, 1, 1, 187)))
# When a client sends its opening packets, and when it gives up.
COPY_TIMES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4


class NoOpShareObserver(ShareObserver):
    """Ignores changes of shares and silent upstreams."""

    def upstream_silent(self, silence):
        pass

    def upstream_answers_again(self, silence, reason, now_s):
        pass

    def share_lowered(self, share):
        pass

    def share_restored(self, share):
        pass

    def pace_changed(self, change):
        pass


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


def steering_settings(zone="a", host="host-1", number=1, **changes):
    ip = f"10.0.{number >> 8}.{number & 255}"
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


def route_config(version, *services, address=SERVICE_ADDRESS):
    """One route whose services have the given weights, as ``("stock", 90.0)``."""
    weighted = tuple(
        WeightedService(ServiceId(name), share) for name, share in services
    )
    route = Route("route", address, weighted)
    return RouteConfig(ConfigVersion(version), (route,), 15_000)


def warmup_config(warmup_s=2.0, flows_per_s=0.0):
    """The same for one service whose upstreams warm up."""
    warmup = WarmupSettings(ServiceId("stock"), warmup_s, flows_per_s)
    return route_config(1, ("stock", 1.0))._replace(warmups=(warmup,))


def client_packet(flow, service_address, kind, listed, **fields):
    """A client's packet, tagged with the upstream of its flow; None for no upstream."""
    tag = NO_TAG if listed is None else upstream_tag(listed.upstream_id)
    return Packet(flow, service_address, kind, tag, **fields)
